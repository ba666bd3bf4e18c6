#include "soak/fleet.h"

#include <dirent.h>
#include <fcntl.h>
#include <ftw.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "bbl/errors.h"
#include "soak/network.h"

#define TEXT_MAX 256
#define ARGS_MAX 32
#define LINE_MAX_BYTES 1024

extern char **environ;

bool
soak_fleet_is_control(unsigned host)
{
    return host < SOAK_CONTROL_HOSTS || host == SOAK_SPARE;
}

/* Returns the number of a host among the control or the entry hosts. */
static unsigned
get_number(unsigned host)
{
    if (host == SOAK_SPARE) {
        return SOAK_CONTROL_HOSTS + 1;
    }
    return soak_fleet_is_control(host) ? host + 1
                                       : host - SOAK_CONTROL_HOSTS + 1;
}

static void
format_data_folder(char *out, const soak_fleet *fleet, unsigned host)
{
    snprintf(out, TEXT_MAX, "%s/data-%s", fleet->folder,
             fleet->hosts[host].name);
}

/* Formats the addresses of the first three control hosts. */
static void
format_seeds(char *out, size_t size)
{
    char address[TEXT_MAX];

    out[0] = '\0';
    for (unsigned n = 1; n <= 3; n++) {
        size_t used = strlen(out);

        soak_network_format(address, sizeof(address), SOAK_NET_CONTROL, n, 1);
        snprintf(out + used, size - used, "%s%s", n > 1 ? "," : "", address);
    }
}

int
soak_fleet_start(soak_fleet *fleet, unsigned host, bool bootstrap)
{
    soak_host *h = &fleet->hosts[host];
    bool control = soak_fleet_is_control(host);
    unsigned group = control ? SOAK_NET_CONTROL : SOAK_NET_ENTRY;
    unsigned n = get_number(host);
    char seeds[3 * TEXT_MAX];
    char catalog_address[TEXT_MAX];
    char zone[TEXT_MAX];
    char control_address[TEXT_MAX];
    char serving_address[TEXT_MAX];
    char data_or_ready[TEXT_MAX];
    char peer_address[TEXT_MAX];
    char log_path[TEXT_MAX];
    char *args[ARGS_MAX] = {"baobablatch",       "forward",
                            "--seeds",           seeds,
                            "--catalog-address", catalog_address,
                            "--lost-disks",      "2",
                            "--grace-s",         "6",
                            "--data-centre",     zone,
                            "--control-address", control_address};
    size_t count = 14;
    posix_spawn_file_actions_t actions;
    int error;

    snprintf(h->name, sizeof(h->name), "%c%u", control ? 'c' : 'e', n % 10);
    snprintf(zone, TEXT_MAX, "z%u", n % 3 + 1);
    format_seeds(seeds, sizeof(seeds));
    soak_network_format(catalog_address, TEXT_MAX, SOAK_NET_LIST,
                        SOAK_LIST_PROXY, SOAK_LIST_PORT);
    soak_network_format(control_address, TEXT_MAX, group, n, 7380);
    snprintf(log_path, TEXT_MAX, "%s/%s.log", fleet->folder, h->name);
    args[count++] = control ? "--order-address" : "--caller-address";
    soak_network_format(serving_address, TEXT_MAX, group, n,
                        control ? 8106 : 8104);
    args[count++] = serving_address;
    args[count++] = control ? "--data-dir" : "--ready-address";
    if (control) {
        format_data_folder(data_or_ready, fleet, host);
    }
    else {
        soak_network_format(data_or_ready, TEXT_MAX, group, n, 8108);
    }
    args[count++] = data_or_ready;
    if (control) {
        args[count++] = "--found";
        args[count++] = bootstrap ? "true" : "false";
    }
    else {
        soak_network_format(peer_address, TEXT_MAX, group, n, 7381);
        args[count++] = "--peer-address";
        args[count++] = peer_address;
    }
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path,
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    error =
        posix_spawn(&h->pid, fleet->program, &actions, NULL, args, environ);
    posix_spawn_file_actions_destroy(&actions);
    h->paused = false;
    h->draining = false;
    h->replaced = false;
    h->restart_at = 0;
    h->resume_at = 0;
    if (error != 0) {
        h->pid = 0;
        return bbl_error_set(BBL_EIO, "cannot start %s: %s", fleet->program,
                             strerror(error));
    }
    return 0;
}

void
soak_fleet_kill(soak_fleet *fleet, unsigned host)
{
    soak_host *h = &fleet->hosts[host];

    if (h->pid > 0) {
        kill(h->pid, SIGKILL);
        waitpid(h->pid, NULL, 0);
        h->pid = 0;
        h->replaced = false;
    }
}

void
soak_fleet_terminate(soak_fleet *fleet, unsigned host)
{
    soak_host *h = &fleet->hosts[host];

    if (h->pid > 0) {
        h->draining = true;
        kill(h->pid, SIGTERM);
    }
}

void
soak_fleet_pause(soak_fleet *fleet, unsigned host)
{
    soak_host *h = &fleet->hosts[host];

    if (h->pid > 0) {
        h->paused = true;
        kill(h->pid, SIGSTOP);
    }
}

void
soak_fleet_resume(soak_fleet *fleet, unsigned host)
{
    soak_host *h = &fleet->hosts[host];

    if (h->pid > 0 && h->paused) {
        h->paused = false;
        kill(h->pid, SIGCONT);
    }
    h->resume_at = 0;
}

static int
remove_entry(const char *path, const struct stat *info, int kind,
             struct FTW *at)
{
    (void)info;
    (void)kind;
    (void)at;
    return remove(path);
}

void
soak_fleet_wipe(soak_fleet *fleet, unsigned host)
{
    char folder[TEXT_MAX];

    format_data_folder(folder, fleet, host);
    nftw(folder, remove_entry, 8, FTW_DEPTH | FTW_PHYS);
}

bbl_usec
soak_fleet_get_run_delay(const soak_fleet *fleet, unsigned host)
{
    unsigned long long sum = 0; /* nanoseconds */
    char path[TEXT_MAX];
    struct dirent *entry;
    DIR *tasks;

    snprintf(path, sizeof(path), "/proc/%d/task", (int)fleet->hosts[host].pid);
    tasks = opendir(path);
    while (tasks != NULL && (entry = readdir(tasks)) != NULL) {
        unsigned long long delay = 0;
        FILE *f;

        snprintf(path, sizeof(path), "/proc/%d/task/%.16s/schedstat",
                 (int)fleet->hosts[host].pid, entry->d_name);
        f = entry->d_name[0] != '.' ? fopen(path, "r") : NULL;
        if (f != NULL) {
            sum += fscanf(f, "%*u %llu", &delay) == 1 ? delay : 0;
            fclose(f);
        }
    }
    if (tasks != NULL) {
        closedir(tasks);
    }
    return sum / 1000;
}

bool
soak_fleet_find_log_line(const soak_fleet *fleet,
                         bool (*matches)(const char *line, const char *text),
                         const char *text)
{
    char line[LINE_MAX_BYTES];
    bool found = false;

    for (unsigned i = 0; !found && i < SOAK_CONTROL_HOSTS; i++) {
        char path[TEXT_MAX];
        FILE *log;

        snprintf(path, sizeof(path), "%s/%s.log", fleet->folder,
                 fleet->hosts[i].name);
        log = fopen(path, "r");
        while (log != NULL && !found &&
               fgets(line, sizeof(line), log) != NULL) {
            found = matches(line, text);
        }
        if (log != NULL) {
            fclose(log);
        }
    }
    return found;
}

/* Returns the number of members that a line lists; 0 if it lists none. */
static unsigned
count_members(const char *line, const char *text)
{
    const char *members = strstr(line, text);
    unsigned count = members != NULL;

    for (; members != NULL && *members != '\0'; members++) {
        count += *members == ',';
    }
    return count;
}

static bool
lists_all_voters(const char *line, const char *text)
{
    return strstr(line, "learner") == NULL &&
           count_members(line, text) == SOAK_CONTROL_HOSTS;
}

static bool
lists_spare(const char *line, const char *text)
{
    return strstr(line, "learner") != NULL &&
           count_members(line, text) == SOAK_CONTROL_HOSTS + 1;
}

bool
soak_fleet_has_all_voters(const soak_fleet *fleet)
{
    return soak_fleet_find_log_line(fleet, lists_all_voters, " voters=");
}

bool
soak_fleet_has_spare(const soak_fleet *fleet)
{
    return soak_fleet_find_log_line(fleet, lists_spare, " voters=");
}

int
soak_fleet_reap(soak_fleet *fleet)
{
    for (unsigned i = 0; i < SOAK_PROCESSES; i++) {
        soak_host *h = &fleet->hosts[i];

        if (h->pid > 0 && waitpid(h->pid, NULL, WNOHANG) == h->pid) {
            bool unexpected = !h->draining;

            h->pid = 0;
            if (unexpected) {
                return (int)i;
            }
        }
    }
    return -1;
}

void
soak_fleet_kill_all(soak_fleet *fleet)
{
    for (unsigned i = 0; i < SOAK_PROCESSES; i++) {
        soak_fleet_kill(fleet, i);
    }
}
