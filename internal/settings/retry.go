package settings

import (
	"lichenpick/policy"
	pb "lichenpick/proto/settings"
)

// RetryMode converts a retry mode of the settings to the policy's constant, such as policy.RetryOnce.
func RetryMode(retry pb.Retry) int {
	switch retry {
	case pb.Retry_AFTER_PROOF:
		return policy.RetryUnprocessed
	case pb.Retry_ONCE:
		return policy.RetryOnce
	case pb.Retry_TWICE:
		return policy.RetryTwice
	default:
		return policy.RetryNever
	}
}
