package fakeengine

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
	"strings"
)

// Message is one message of a chat call.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt that a chat call amounts to.
func ChatPrompt(messages []Message) string {
	lines := make([]string, len(messages))
	for i, m := range messages {
		lines[i] = m.Role + ": " + m.Content
	}
	return strings.Join(lines, "\n")
}

// Text returns the answer of the length to the prompt, so that a caller can verify its own.
func Text(model, adapter, prompt string, tokens int) string {
	seed := seedOf(model, adapter, prompt)
	var text strings.Builder
	for i := range tokens {
		text.WriteString(token(seed, i))
	}
	return text.String()
}

// Prefix returns the number by which cache events name the start of a prompt.
func Prefix(model, prompt string) uint64 {
	const prefixBytes = 256 // one block of a prefix cache, about 64 tokens
	return seedOf(model, "", prompt[:min(len(prompt), prefixBytes)])
}

func seedOf(parts ...string) uint64 {
	hash := fnv.New64a()
	for _, part := range parts {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}

// token mixes the seed with the position as splitmix64 does, so that no two positions look alike.
func token(seed uint64, i int) string {
	z := seed + uint64(i+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return strconv.FormatUint((z^z>>31)&0xffffff, 36) + " "
}

// lengthOf returns the number of tokens of the answer and why it ends there: the most that may be
// generated, or fewer when the prompt contains "stop N".
func lengthOf(prompt string, most int) (int, string) {
	_, rest, found := strings.Cut(prompt, "stop ")
	if !found {
		return most, "length"
	}
	digits := 0
	for digits < len(rest) && rest[digits] >= '0' && rest[digits] <= '9' {
		digits++
	}
	n, err := strconv.Atoi(rest[:digits])
	if err != nil || n > most {
		return most, "length"
	}
	return n, "stop"
}

func quote(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return "null"
	}
	return string(data)
}
