#include "forward/rollout_tally.h"

#include "util/alloc.h"

/* Rows of one message. */
#define ROWS_MAX 8192

void
bbl_rollout_tally_init(bbl_rollout_tally *t)
{
    t->orders = (bbl_vec)BBL_VEC_INIT(uint64_t);
    t->rows = (bbl_vec)BBL_VEC_INIT(bbl_rollout_tally_row);
}

void
bbl_rollout_tally_free(bbl_rollout_tally *t)
{
    bbl_vec_free(&t->orders);
    bbl_vec_free(&t->rows);
}

static bool
has_order(const bbl_vec *orders, uint64_t order)
{
    for (size_t i = 0; i < orders->size; i++) {
        if (*BBL_VEC_AT(uint64_t, orders, i) == order) {
            return true;
        }
    }
    return false;
}

void
bbl_rollout_tally_set_orders(bbl_rollout_tally *t, const bbl_vec *orders)
{
    t->orders.size = 0;
    for (size_t i = 0; i < orders->size; i++) {
        bbl_vec_push(&t->orders, bbl_vec_at(orders, i));
    }
    for (size_t i = t->rows.size; i > 0; i--) {
        const bbl_rollout_tally_row *row = bbl_vec_at(&t->rows, i - 1);

        if (!has_order(orders, row->order)) {
            bbl_vec_swap_remove(&t->rows, i - 1);
        }
    }
}

bbl_judge_sample *
bbl_rollout_tally_get(bbl_rollout_tally *t, uint64_t order, uint64_t route,
                      bool target)
{
    bbl_rollout_tally_row *row;

    if (!has_order(&t->orders, order)) {
        return NULL;
    }
    for (size_t i = 0; i < t->rows.size; i++) {
        row = bbl_vec_at(&t->rows, i);
        if (row->order == order && row->route == route &&
            row->target == target) {
            return &row->sample;
        }
    }
    if (t->rows.size >= ROWS_MAX) {
        return NULL;
    }
    row = bbl_vec_add(&t->rows);
    row->order = order;
    row->route = route;
    row->target = target;
    return &row->sample;
}

void
bbl_rollout_tally_write(const bbl_rollout_tally *t, bblx_rollout_counts *out)
{
    out->incarnation = 0;
    out->orders.orders_len = (u_int)t->orders.size;
    out->orders.orders_val =
        bbl_calloc(t->orders.size, sizeof(*out->orders.orders_val));
    for (size_t i = 0; i < t->orders.size; i++) {
        out->orders.orders_val[i] = *BBL_VEC_AT(uint64_t, &t->orders, i);
    }
    out->rows.rows_len = (u_int)t->rows.size;
    out->rows.rows_val = bbl_calloc(t->rows.size, sizeof(*out->rows.rows_val));
    for (size_t i = 0; i < t->rows.size; i++) {
        const bbl_rollout_tally_row *row = bbl_vec_at(&t->rows, i);

        out->rows.rows_val[i] = (bblx_rollout_count){
            row->order,         row->route,         row->target,
            row->sample.ended,  row->sample.failed, row->sample.slow,
            row->sample.refused};
    }
}
