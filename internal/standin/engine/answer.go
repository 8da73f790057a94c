package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"almondreel.example/almondreel/internal/manifest"
)

var words = [...]string{
	"auction", "barn", "cattle", "draft", "engine", "figure", "grade", "herd",
	"invoice", "journal", "ledger", "market", "note", "order", "parcel", "quote",
}

// Text returns the text of one token of the answer of a version to a prompt.
func Text(digest manifest.Digest, prompt string, index int) string {
	sum := xxhash.Sum64String(string(digest) + "\x00" + prompt + "\x00" + strconv.Itoa(index))
	return words[sum%uint64(len(words))] + strconv.FormatUint(sum>>32, 36) + " "
}

// Answer returns the whole text of an answer of tokens tokens.
func Answer(digest manifest.Digest, prompt string, tokens int) string {
	var answer strings.Builder
	for i := range tokens {
		answer.WriteString(Text(digest, prompt, i))
	}
	return answer.String()
}
