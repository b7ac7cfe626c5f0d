package ctrl

import (
	"github.com/flamingomast/flamingomast/internal/roll/order"
)

// ownRollouts returns where the project's own commands write orders of rollouts.
func ownRollouts() Rollouts {
	return Rollouts{Prefix: order.Prefix, Read: order.Decode, StatusKey: order.StatusKey, Encode: order.EncodeStatus, Decode: order.DecodeStatus}
}
