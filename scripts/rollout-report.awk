# rollout-report.awk - evaluates one rollout experiment. Reads the records of the
# emulator (servers.csv), of the callers (callers.csv), of the states read
# (states.csv) and of the shares and states that hosts applied (shares.csv), in this
# order and each sorted by time; all times are ms since 1970. Writes the CSV file `csv`, and prints the line
# of the case, and why it failed. Exit status: 0 passed, 1 failed, 3 not measured.
# Variables: name, expected (completed or rolled_back), ordered_at, deadline,
# unstable_ms (time without a stable quorum that is allowed for), csv.

# Returns a quantile of the latencies of a window and version.
function quantile(key, q,    i, n) {
    n = count[key]
    if (n == 0) return ""
    i = int(q * n)
    if (i < q * n) i++
    return sprintf("%.1f", latency[key, i < 1 ? 1 : i])
}

function fail(why) {
    failures[++failed] = why
}

# Inserts in ascending order; a window holds few latencies.
function insert(key, value,    i) {
    for (i = ++count[key]; i > 1 && latency[key, i - 1] > value; i--)
        latency[key, i] = latency[key, i - 1]
    latency[key, i] = value
}

function window(at) { return int((at - begin) / 250) }

BEGIN { FS = ","; ROLLBACK_MS = 5000; SETTLE_MS = 2000; SLACK = 50; SHARE = 0.1 }

FNR == 1 { file++ }

file == 1 {
    at = $1 + 0; version = $3
    if (begin == 0) begin = at
    w = window(at); key = w "," version
    if (w > last) last = w
    if ($2 == "run") {
        runs[key]++; all[w]++
        if (at >= ordered_at && at <= deadline) reached++
        if (version == "v2") { new++; new_at[new] = at }
        if ($5 == "POST" && ++ran[$6] == 2) fail("request " $6 ", which is not idempotent, ran twice")
        next
    }
    if ($7 == "failed") bad_failed[key]++
    if ($7 == "slow") bad_slow[key]++
    if (version == "v2" && ($7 == "failed" || $7 == "slow") && ++bad == 50) fiftieth_at = at
    insert(key, $8 + 0)
    next
}

file == 2 {
    sent++
    if ($5 != 200) { caller_failures++; statuses[$5]++ }
    if ($3 == "POST" && ($5 == 429 || $5 == 503 || $5 == 408 || $5 == 421) && $4 in ran)
        fail("request " $4 " was refused with " $5 " and has run")
    next
}

file == 3 {
    if ($2 == "ordered" || $2 == "acknowledged") next
    reads++
    if (end_state != "" && $2 != end_state) fail("state " $2 " was read after " end_state)
    if ($2 == "running" && end_state == "") running_at = $1 + 0
    if ($2 != "running" && end_state == "") { end_state = $2; end_at = $1 + 0 }
    state_at[reads] = $1 + 0; state[reads] = $2
    next
}

file == 4 {
    shares++; share_at[shares] = $1 + 0; share[shares] = $2
    if ($3 != "running" && applied_at == 0) applied_at = $1 + 0
}

END {
    if (new + reached == 0 || sent == 0 || reads == 0) {
        print name ": not measured: " reached + 0 " requests, " sent + 0 " callers, " reads + 0 " states"
        exit 3
    }
    allowed = int(SHARE * reached + SLACK)
    if (end_state != expected)
        fail("ended " (end_state == "" ? "not at all" : end_state) " instead of " expected)
    # If reads before and after the deadline leave it open, as on a machine that stops
    # the reader, the time at which a control host applied the end decides.
    limit = deadline + unstable_ms
    in_time = end_at <= limit || (running_at <= limit && applied_at != 0 && applied_at <= limit)
    if (expected == "completed" && end_state == "completed" && !in_time)
        fail("completed " end_at - deadline " ms after the deadline")
    if (expected == "rolled_back") {
        if (new == 0) fail("the bad version got no request")
        else if (bad == 0) fail("the bad version gave no bad answer")
        if (new > allowed) fail(new " requests to the new version, more than " allowed)
        if (fiftieth_at != 0) {
            limit = fiftieth_at + ROLLBACK_MS + unstable_ms
            if (end_at > limit) fail("rolled back " end_at - fiftieth_at " ms after the 50th bad answer")
            for (i = 1; i <= new; i++) late += new_at[i] > limit
            if (late > 0) fail(late " requests to the new version too long after its 50th bad answer")
        }
        for (i = 1; i <= new; i++) settled += end_at != 0 && new_at[i] > end_at + SETTLE_MS
        if (settled > 0) fail(settled " requests to the new version later than 2 s after it was read as rolled back")
    }

    print "time_s,version,requests,share,failures,slow,median_ms,p99_ms,state,share_ordered" >csv
    s = o = 0
    split("v1 v2", versions, " ")
    for (w = 0; w <= last; w++) {
        at = begin + (w + 1) * 250
        while (s < reads && state_at[s + 1] <= at) s++
        while (o < shares && share_at[o + 1] <= at) o++
        for (v = 1; v <= 2; v++) {
            key = w "," versions[v]
            printf("%.2f,%s,%d,%.4f,%d,%d,%s,%s,%s,%s\n", (begin + w * 250 - ordered_at) / 1000, versions[v],
                runs[key], all[w] > 0 ? runs[key] / all[w] : 0, bad_failed[key], bad_slow[key],
                quantile(key, 0.5), quantile(key, 0.99), s > 0 ? state[s] : "none", o > 0 ? share[o] : 0) >csv
        }
    }
    close(csv)

    printf "%s: %s after %.1f s, %d requests to the new version (%d allowed%s), %d of %d callers' requests failed\n",
        name, end_state == "" ? "no end" : end_state, (end_at - ordered_at) / 1000, new, allowed,
        expected == "completed" ? " if it were bad" : "",
        caller_failures, sent
    for (status in statuses)
        print name ": " statuses[status] " of them " (status == 0 ? "without a response" : "with status " status)
    for (i = 1; i <= failed; i++) print name ": FAILED: " failures[i]
    exit failed > 0
}
