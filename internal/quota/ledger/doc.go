// Package ledger estimates how much of each tenant's limit all outlets together have used, from
// reports that arrive late, and derives which share of the requests they admit next. What was
// admitted too much before a report arrived is deducted later, so the sum over any longer time stays
// within the limit.
package ledger
