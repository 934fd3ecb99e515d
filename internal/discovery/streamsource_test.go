package discovery

import (
	"testing"

	"lichenpick/proto/order"
)

// TestUpdateDecoderStopsAtVersionGap states that nothing is delivered once a change was lost, as that may have been a drain.
func TestUpdateDecoderStopsAtVersionGap(t *testing.T) {
	var updates []Update
	decoder := &updateDecoder{deliver: func(update Update) { updates = append(updates, update) }}
	decoder.OnEndpoints(&order.Listing{Form: order.Listing_WHOLE, Version: 4})
	decoder.OnEndpoints(&order.Listing{Form: order.Listing_CHANGE, Version: 5})
	decoder.OnEndpoints(&order.Listing{Form: order.Listing_CHANGE, Version: 7}) // 6 was lost
	decoder.OnEndpoints(&order.Listing{Form: order.Listing_CHANGE, Version: 8})
	if len(updates) != 2 || !decoder.versionGap {
		t.Errorf("%v, version gap %t", updates, decoder.versionGap)
	}
}
