package hosted

import (
	"time"

	"almondreel.example/almondreel/internal/belief"
	"almondreel.example/almondreel/platform"
)

// View lets tests deliver what is new in any order.
type View struct {
	Beliefs   *belief.Beliefs
	knowledge *knowledge
}

// NewView returns a view that knows nothing and calls no store.
func NewView(versionMS int) View {
	k := newKnowledge(platform.NewStore(""), versionMS)
	return View{Beliefs: k.beliefs, knowledge: k}
}

// Take acts on items that are new.
func (v View) Take(news []belief.Item) { v.knowledge.take(news, "test") }

// Listed is the number of servers that are listed.
func (v View) Listed() int { return len(v.knowledge.listed(time.Now())) }
