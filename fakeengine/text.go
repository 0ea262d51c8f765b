package fakeengine

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
	"strings"
)

// Message is a message of a chat completion request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt of a chat completion request with the messages.
func ChatPrompt(messages []Message) string {
	lines := make([]string, len(messages))
	for i, m := range messages {
		lines[i] = m.Role + ": " + m.Content
	}
	return strings.Join(lines, "\n")
}

// ResponseText returns the response to the prompt with the number of tokens. With it, tests can verify that a response
// belongs to its request.
func ResponseText(model, adapter, prompt string, tokens int) string {
	seed := hashStrings(model, adapter, prompt)
	var text strings.Builder
	for i := range tokens {
		text.WriteString(token(seed, i))
	}
	return text.String()
}

// PrefixHash returns the hash by which cache events identify the start of a prompt.
func PrefixHash(model, prompt string) uint64 {
	const prefixBytes = 256 // one block of a prefix cache, about 64 tokens
	return hashStrings(model, "", prompt[:min(len(prompt), prefixBytes)])
}

// hashStrings returns a hash of the strings and their boundaries.
func hashStrings(parts ...string) uint64 {
	hash := fnv.New64a()
	for _, part := range parts {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}

// token returns token i of the text with the seed. It mixes seed and position as splitmix64 does, so that tokens
// at different positions differ.
func token(seed uint64, i int) string {
	z := seed + uint64(i+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return strconv.FormatUint((z^z>>31)&0xffffff, 36) + " "
}

// responseLength returns the number of tokens of the response and its finish reason: maxTokens and "length", or, if
// the prompt contains "stop N" with an N of at most maxTokens, N and "stop".
func responseLength(prompt string, maxTokens int) (int, string) {
	_, rest, found := strings.Cut(prompt, "stop ")
	if !found {
		return maxTokens, "length"
	}
	digits := 0
	for digits < len(rest) && rest[digits] >= '0' && rest[digits] <= '9' {
		digits++
	}
	n, err := strconv.Atoi(rest[:digits])
	if err != nil || n > maxTokens {
		return maxTokens, "length"
	}
	return n, "stop"
}

// marshalJSON returns the value as JSON, or null if it cannot be encoded.
func marshalJSON(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return "null"
	}
	return string(data)
}
