package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playProbe sends requests to proxies at a steady rate, and checks that no proxy is without a server to pick for longer than
// a limit.
func playProbe(arguments []string) int {
	flags := flag.NewFlagSet("probe", flag.ExitOnError)
	path := flags.String("record", "record.txt", "file to append to")
	proxies := flags.String("proxies", "", "addresses of the proxies")
	class := flags.String("class", "check", "traffic class")
	every := flags.Duration("every", 50*time.Millisecond, "between two requests to a proxy")
	length := flags.Duration("for", time.Minute, "how long to send")
	within := flags.Duration("within", 4*time.Second, "longest time without a server to pick")
	_ = flags.Parse(arguments)

	record := newRecorder(*path)
	end := time.Now().Add(*length)
	results := make([]proxyResult, strings.Count(*proxies, ",")+1)
	var probes sync.WaitGroup
	for index, address := range strings.Split(*proxies, ",") {
		probes.Go(func() { results[index] = probe(record, address, *class, *every, end) })
	}
	probes.Wait()
	code := exitHeld
	for _, result := range results {
		record.conclude("proxy %s: answers %v, longest time without a server to pick %.1f s (limit %.1f s)",
			result.address, result.answers, result.longest.Seconds(), within.Seconds())
		if result.longest > *within {
			code = exitBroken
		}
		if code == exitHeld && result.answers["200"] == 0 {
			code = exitNotRun
		}
	}
	return code
}

// proxyResult is what a proxy answered, and the longest time in which it answered only that it has no server to pick.
type proxyResult struct {
	address string
	answers map[string]int
	longest time.Duration
}

func probe(record *recorder, address, class string, every time.Duration, end time.Time) proxyResult {
	result := proxyResult{address: address, answers: map[string]int{}}
	client := &http.Client{Timeout: 3 * time.Second}
	var bareSince time.Time
	for number := 0; time.Now().Before(end); number++ {
		sent := time.Now()
		answer := get(client, address, class, fmt.Sprintf("%s/%d", address, number))
		record.note("id=%s/%d answered %s", address, number, answer)
		result.answers[answer]++
		switch {
		case answer != "503 bare":
			bareSince = time.Time{}
		case bareSince.IsZero():
			bareSince = sent
		default:
			result.longest = max(result.longest, time.Since(bareSince))
		}
		time.Sleep(time.Until(sent.Add(every)))
	}
	return result
}

func get(client *http.Client, address, class, id string) string {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Traffic-Group", class)
	request.Header.Set("Flow-Id", id)
	response, err := client.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the status counts
	return strings.TrimSpace(fmt.Sprint(response.StatusCode) + " " + response.Header.Get("Flow-Outcome"))
}
