package planner

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// fetchTimeout bounds the time for fetching a status.
const fetchTimeout = time.Second

// FetchStatus requests the status of the planner whose status server listens on an address. It fails if the context ends, or
// if there is no answer within a second.
func FetchStatus(ctx context.Context, address string) (status *Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	status = &Status{}
	err = json.NewDecoder(response.Body).Decode(status)
	return status, err
}
