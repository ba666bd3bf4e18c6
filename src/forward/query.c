#include "forward/query.h"

#include <stdlib.h>
#include <string.h>

/* Location of one signature in signature_text. */
typedef struct {
    size_t offset;
    size_t size;
} signature_span;

void
bbl_query_free(bbl_query *q)
{
    free(q->shards);
    bbl_vec_free(&q->attempts);
    bbl_vec_free(&q->signatures);
    bbl_buf_free(&q->signature_text);
    bbl_top_records_free(&q->top_records);
    free(q);
}

bbl_identity_fields
bbl_query_get_identity(const bbl_query *q)
{
    bbl_identity_fields fields = {
        .replaced = bbl_routing_has_organisations(q->table->routing)};

    if (q->organisation != NULL) {
        fields.organisation = q->organisation->name;
    }
    return fields;
}

void
bbl_query_add_part(bbl_query *q, bbl_str signature, bbl_str body)
{
    signature_span s = {q->signature_text.size, signature.size};

    bbl_buf_append(&q->signature_text, signature.ptr, signature.size);
    bbl_vec_push(&q->signatures, &s);
    bbl_top_records_add(&q->top_records, body);
}

void
bbl_query_append_fields(bbl_query *q, const bbl_dialect *dialect, bbl_buf *out)
{
    bbl_vec list = BBL_VEC_INIT(bbl_str);

    for (size_t i = 0; i < q->signatures.size; i++) {
        const signature_span *s = bbl_vec_at(&q->signatures, i);
        bbl_str text = {q->signature_text.ptr + s->offset, s->size};

        bbl_vec_push(&list, &text);
    }
    dialect->append_merged_fields(out, &list,
                                  q->shard_count - q->shards_answered);
    bbl_vec_free(&list);
}

void
bbl_attempt_link(bbl_attempt *a)
{
    bbl_backend *b = a->backend;
    bbl_attempt *last = b->attempts;

    /* A circular list that starts with the oldest attempt. */
    if (last == NULL) {
        a->next = a;
        a->prev = a;
        b->attempts = a;
    }
    else {
        a->next = last;
        a->prev = last->prev;
        last->prev->next = a;
        last->prev = a;
    }
    b->in_flight++;
    b->oldest_sent_at = ((bbl_attempt *)b->attempts)->sent_at;
}

void
bbl_attempt_unlink(bbl_attempt *a)
{
    bbl_backend *b = a->backend;

    if (a->next == a) {
        b->attempts = NULL;
    }
    else {
        a->prev->next = a->next;
        a->next->prev = a->prev;
        if (b->attempts == a) {
            b->attempts = a->next;
        }
    }
    b->in_flight--;
    b->oldest_sent_at =
        b->attempts != NULL ? ((bbl_attempt *)b->attempts)->sent_at : 0;
}
