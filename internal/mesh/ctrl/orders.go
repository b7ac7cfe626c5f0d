package ctrl

import (
	"github.com/flamingomast/flamingomast/internal/roll/order"
)

// defaultRollouts returns where the project's own commands write orders of rollouts.
func defaultRollouts() Rollouts {
	return Rollouts{Prefix: order.Prefix, Read: order.Read, StatusKey: order.StatusKey, Encode: order.EncodeStatus, Decode: order.DecodeStatus}
}
