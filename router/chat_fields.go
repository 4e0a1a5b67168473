package router

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// chatFields are the fields of a chat completion request that client libraries
// send. Others are refused: a misspelled max_tokens would otherwise go
// unnoticed and could cost the workspace an answer of the maximum size.
var chatFields = []string{
	"audio", "chat_template_kwargs", "frequency_penalty", "function_call", "functions",
	"logit_bias", "logprobs", "max_completion_tokens", "max_tokens", "messages", "metadata",
	"min_p", "modalities", "model", "n", "parallel_tool_calls", "prediction",
	"presence_penalty", "prompt_cache_key", "reasoning_effort", "repetition_penalty",
	"response_format", "safety_identifier", "seed", "service_tier", "stop", "store", "stream",
	"stream_options", "temperature", "tool_choice", "tools", "top_k", "top_logprobs", "top_p",
	"user", "verbosity", "web_search_options",
}

// decodeChat decodes a chat completion request and reports the first invalid
// field.
func decodeChat(body []byte, b *chatBody) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return badField("body", "malformed JSON, want an object: "+err.Error())
	}
	var unknown []string
	for f := range fields {
		if !slices.Contains(chatFields, f) {
			unknown = append(unknown, f)
		}
	}
	if len(unknown) > 0 {
		slices.Sort(unknown)
		return badField(unknown[0], "unknown: "+strings.Join(unknown, ", "))
	}
	if err := json.Unmarshal(body, b); err != nil {
		return jsonProblem(err)
	}
	if b.N != nil && *b.N != 1 {
		return badField("n", "want 1: one request gets one answer")
	}
	return nil
}

// jsonProblem converts a decoding error into a Problem that names the field.
func jsonProblem(err error) *Problem {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		return badField(wrong.Field, fmt.Sprintf("want %s, not %s", wrong.Type, wrong.Value))
	}
	if _, field, ok := strings.Cut(err.Error(), "json: unknown field "); ok {
		return badField(strings.Trim(field, `"`), "unknown field")
	}
	return badField("body", "malformed JSON: "+err.Error())
}
