package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// step returns a step of count tasks that work for ms each.
func step(count, cpu, ms int) map[string]any {
	return map[string]any{"count": count, "cpu": cpu, "memMb": 256, "estimateMs": ms}
}

// job returns the body of a submission.
func job(steps ...map[string]any) map[string]any {
	return map[string]any{"spec": "review", "steps": steps}
}

// call sends a client's request to an entry and returns the status, or 0 without an answer.
func (d *deployment) call(e *entry, method, path string, body any) (status int, answer map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), clientBudget+200*time.Millisecond)
	defer cancel()
	var content []byte
	if body != nil {
		content, _ = json.Marshal(body) // maps of plain values always encode
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.ip+":8624"+path, bytes.NewReader(content))
	if err != nil {
		return 0, nil
	}
	request.Host = callerHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Acaciatally-Deadline-Ms", strconv.FormatInt(clientBudget.Milliseconds(), 10))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }() // nothing is lost by an error here
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return response.StatusCode, answer
}

// submit hands a submission in and returns the status, or 0 without an answer.
func (d *deployment) submit(e *entry, id string, body any) (status int) {
	return d.submitTo(e, callerPrefix, id, body)
}

// submitTo is submit for a queue with another prefix.
func (d *deployment) submitTo(e *entry, prefix, id string, body any) (status int) {
	d.record.printf("client: POST %s%s to %s", prefix, id, e.name)
	status, _ = d.call(e, http.MethodPost, prefix+id, body)
	d.record.printf("client: POST %s%s answered %d by %s", prefix, id, status, e.name)
	return status
}

// cancel cancels a submission and returns the status, or 0 without an answer.
func (d *deployment) cancel(e *entry, id string) (status int) {
	d.record.printf("client: DELETE %s%s to %s", callerPrefix, id, e.name)
	status, _ = d.call(e, http.MethodDelete, callerPrefix+id, nil)
	d.record.printf("client: DELETE %s%s answered %d by %s", callerPrefix, id, status, e.name)
	return status
}

// state returns the state that an entry tells of a submission, or the status if it tells none.
func (d *deployment) state(e *entry, id string) string { return d.stateOf(e, callerPrefix, id) }

// stateOf is state for a queue with another prefix.
func (d *deployment) stateOf(e *entry, prefix, id string) string {
	status, answer := d.call(e, http.MethodGet, prefix+id, nil)
	if text, found := answer["state"].(string); found && status == http.StatusOK {
		return text
	}
	return strconv.Itoa(status)
}

// ready reports whether the entry is ready.
func (d *deployment) ready(e *entry) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ip+":8622/-/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
