package ctrl

import (
	"github.com/flamingomast/flamingomast/internal/roll/order"
)

// defaultRollouts returns the location and format of rollout orders defined by package order.
func defaultRollouts() Rollouts {
	return Rollouts{Prefix: order.Prefix, Read: order.Decode, StatusKey: order.StatusKey, Encode: order.EncodeStatus, Decode: order.DecodeStatus}
}
