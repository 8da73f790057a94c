package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"almondreel.example/almondreel/internal/schedule"
)

func makeServers(count int) []schedule.Server {
	var list []schedule.Server
	for n := range count {
		list = append(list, schedule.Server{ID: fmt.Sprintf("i-%010x", n*7919), Address: fmt.Sprint(n), Region: fmt.Sprint("region-", n%5), Slots: 8, Version: 1, Ready: true})
	}
	return list
}

var poolSizes = []int{12, 120, 600}

func BenchmarkSetServers(b *testing.B) {
	for _, count := range poolSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			p, list := schedule.NewPool(schedule.Options{Region: "region-0"}), makeServers(count)
			b.ReportAllocs()
			for b.Loop() {
				p.SetServers(startTime, list)
			}
		})
	}
}

func BenchmarkSubmit(b *testing.B) {
	for _, count := range poolSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			p := schedule.NewPool(schedule.Options{Region: "region-0"})
			p.SetServers(startTime, makeServers(count))
			b.ReportAllocs()
			for b.Loop() {
				decision, _ := p.Submit(startTime, schedule.Request{ArrivedAt: startTime, AnswerBy: startTime.Add(target), Deadline: startTime.Add(6 * time.Second)})
				if s, ok := decision.(schedule.Start); ok {
					p.Ended(startTime, s.Server.ID, schedule.Finished, 0)
				}
			}
		})
	}
}

func BenchmarkSetOtherLoad(b *testing.B) {
	for _, count := range poolSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			p, list := schedule.NewPool(schedule.Options{Region: "region-0"}), makeServers(count)
			p.SetServers(startTime, list)
			running := map[string]int{}
			for _, s := range list {
				running[s.ID] = 3
			}
			b.ReportAllocs()
			for b.Loop() {
				p.SetOtherLoad(startTime, running)
			}
		})
	}
}

// BenchmarkDecision measures the choice of a server by counts and by estimates, with
// requests of this gateway and of others on all of them.
func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{50, 600} {
		for name, estimates := range map[string]bool{"Counts": false, "Estimates": true} {
			b.Run(fmt.Sprint(name, "/", count), func(b *testing.B) {
				p, list := schedule.NewPool(schedule.Options{Region: "region-0", Estimates: estimates}), makeServers(count)
				p.SetServers(startTime, list)
				running := map[string]int{}
				for _, s := range list {
					running[s.ID] = 3
				}
				p.SetOtherLoad(startTime, running)
				request := promptRequest(900)
				for range count {
					if s, ok := decisionOf(p.Submit(startTime, request)).(schedule.Start); ok {
						p.ResponseStarted(startTime, s.Server.ID, 100, request.PromptMS)
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					if s, ok := decisionOf(p.Submit(startTime, request)).(schedule.Start); ok {
						p.Ended(startTime, s.Server.ID, schedule.Finished, request.PromptMS)
					}
				}
			})
		}
	}
}

// BenchmarkSubmitWithoutShare submits at a gateway that has no share of the slots of any
// server, as at a site with more gateways than slots.
func BenchmarkSubmitWithoutShare(b *testing.B) {
	names := []string{}
	for n := range 40 {
		names = append(names, fmt.Sprint("gateway-", n))
	}
	for _, count := range poolSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			p := schedule.NewPool(schedule.Options{Region: "region-0", ExactShares: true})
			p.SetGateways("gateway-without-share", names)
			p.SetSlotSharers(names)
			p.SetServers(startTime, makeServers(count))
			b.ReportAllocs()
			for b.Loop() {
				decision, _ := p.Submit(startTime, generation(1, startTime))
				if s, ok := decision.(schedule.Start); ok {
					p.Ended(startTime, s.Server.ID, schedule.Finished, 0)
				}
			}
		})
	}
}
