package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"almondreel.example/almondreel/internal/schedule"
)

func many(count int) []schedule.Server {
	var list []schedule.Server
	for n := range count {
		list = append(list, schedule.Server{ID: fmt.Sprintf("i-%010x", n*7919), Address: fmt.Sprint(n), Region: fmt.Sprint("region-", n%5), Slots: 8, Version: 1, Ready: true})
	}
	return list
}

var sizes = []int{12, 120, 600}

func BenchmarkSetServers(b *testing.B) {
	for _, count := range sizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			p, list := schedule.NewPool(schedule.Options{Region: "region-0"}), many(count)
			b.ReportAllocs()
			for b.Loop() {
				p.SetServers(began, list)
			}
		})
	}
}

func BenchmarkArrive(b *testing.B) {
	for _, count := range sizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			p := schedule.NewPool(schedule.Options{Region: "region-0"})
			p.SetServers(began, many(count))
			b.ReportAllocs()
			for b.Loop() {
				verdict, _ := p.Arrive(began, schedule.Ask{ArrivedAt: began, AnswerBy: began.Add(target), GiveUpAt: began.Add(6 * time.Second)})
				if s, ok := verdict.(schedule.Start); ok {
					p.Ended(began, s.Server.ID, schedule.Finished, 0)
				}
			}
		})
	}
}

func BenchmarkSetOthers(b *testing.B) {
	for _, count := range sizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			p, list := schedule.NewPool(schedule.Options{Region: "region-0"}), many(count)
			p.SetServers(began, list)
			running := map[string]int{}
			for _, s := range list {
				running[s.ID] = 3
			}
			b.ReportAllocs()
			for b.Loop() {
				p.SetOthers(began, running)
			}
		})
	}
}
