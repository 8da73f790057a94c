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

// TokenText returns the text of the token at index of a completion. It depends only on
// the version's digest, the prompt and the index, so that callers can verify responses.
func TokenText(digest manifest.Digest, prompt string, index int) string {
	sum := xxhash.Sum64String(string(digest) + "\x00" + prompt + "\x00" + strconv.Itoa(index))
	return words[sum%uint64(len(words))] + strconv.FormatUint(sum>>32, 36) + " "
}

// CompletionText returns the text of a completion with the given number of tokens.
func CompletionText(digest manifest.Digest, prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(TokenText(digest, prompt, i))
	}
	return text.String()
}
