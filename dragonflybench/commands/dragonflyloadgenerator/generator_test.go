package dragonflyloadgenerator_test

import (
	"context"
	"testing"

	"dragonflyrelay.example/dragonflybench/commands/dragonflyengine"
	"dragonflyrelay.example/dragonflybench/commands/dragonflyloadgenerator"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyexpectation"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyloadfile"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyworkload"
	"dragonflyrelay.example/dragonflybench/values/dragonflybatchsettings"
	"dragonflyrelay.example/dragonflybench/values/dragonflyenginesettings"
	"dragonflyrelay.example/dragonflybench/values/dragonflyloadresult"
	"dragonflyrelay.example/dragonflybench/values/dragonflyloadsettings"
	"dragonflyrelay.example/library/common/dragonflyduration"
	. "github.com/smartystreets/goconvey/convey"
)

// start runs a stand-in engine, which answers with the tokens of token if that is
// not nil, and returns its base URL.
func start(t *testing.T, batch dragonflybatchsettings.Settings, token func(string, int) string) string {
	t.Helper()
	e := &dragonflyengine.Engine{Settings: dragonflyenginesettings.Settings{
		Instance: "e", Standalone: true, Batch: batch,
	}, Token: token}
	addr, err := e.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return "http://" + addr
}

func sendLoad(base string, seed uint64) dragonflyloadresult.Result {
	g := dragonflyloadgenerator.Generator{Settings: dragonflyloadsettings.Settings{
		Base: base, Form: dragonflyloadsettings.Engine, Rate: 40, Duration: dragonflyduration.Second,
		Seed: seed, AnswerMedian: 8, AnswerMax: 20, Sigma: 0.5,
	}}
	r, err := g.Run(context.Background())
	So(err, ShouldBeNil)
	So(r.Requests, ShouldBeGreaterThan, 0)
	return r
}

// assertOutcomes asserts that every outcome is of kind, and that the result has
// examples of outcomes unless kind is "whole".
func assertOutcomes(r dragonflyloadresult.Result, kind string) {
	So(r.Examples, ShouldHaveLength, map[bool]int{true: 0, false: min(3, r.Requests)}[kind == "whole"])
	So(r.Outcomes[kind], ShouldEqual, r.Requests)
}

func TestGenerator(t *testing.T) {
	Convey("Each answer of a correct engine is complete, and its tokens are counted", t, func() {
		base := start(t, dragonflybatchsettings.Settings{}, nil)
		r := sendLoad(base, 1)
		assertOutcomes(r, "whole")
		So(r.FirstToken.Count, ShouldEqual, r.Requests)
		So(r.Gap.Count, ShouldEqual, r.Tokens-r.Requests)
	})
	Convey("One wrong token in each answer is detected", t, func() {
		base := start(t, dragonflybatchsettings.Settings{}, func(prompt string, i int) string {
			if i == 0 {
				return dragonflyexpectation.Token(prompt, 1)
			}
			return dragonflyexpectation.Token(prompt, i)
		})
		assertOutcomes(sendLoad(base, 2), "wrong")
	})
	Convey("A missing token is detected", t, func() {
		base := start(t, dragonflybatchsettings.Settings{}, func(prompt string, i int) string {
			if i == 0 {
				return ""
			}
			return dragonflyexpectation.Token(prompt, i)
		})
		So(sendLoad(base, 3).Outcomes["whole"], ShouldEqual, 0)
	})
	Convey("Refusals are counted as not run", t, func() {
		slow := dragonflybatchsettings.Settings{MaxBatch: 1, QueueLimit: 1, TokenTime: 50 * dragonflyduration.Millisecond}
		r := sendLoad(start(t, slow, nil), 4)
		So(r.Outcomes["refused-not-run"], ShouldBeGreaterThan, 0)
		So(r.Outcomes["refused-not-run"]+r.Outcomes["whole"], ShouldEqual, r.Requests)
	})
	Convey("Every request fails if no server listens, and the load still ends", t, func() {
		assertOutcomes(sendLoad("http://127.0.0.1:1", 5), "failed")
	})
}

func TestWorkload(t *testing.T) {
	cfg := dragonflyloadsettings.Settings{Rate: 500, Duration: 4 * dragonflyduration.Second, Sigma: 1, Seed: 9}.
		WithWorkspace("large", "k1", 9).WithWorkspace("small", "k2", 1)

	Convey("Equal seeds give equal plans with the configured rate and workspace shares", t, func() {
		a, b := dragonflyworkload.New(cfg), dragonflyworkload.New(cfg)
		n, large, longest, sum := 0, 0, 0, 0
		for {
			nextA, ra, ok := a.Next()
			nextB, rb, _ := b.Next()
			So(ra, ShouldResemble, rb)
			if !ok {
				break
			}
			a, b = nextA, nextB
			n++
			sum += ra.MaxTokens
			longest = max(longest, ra.MaxTokens)
			if ra.Key == "k1" {
				large++
			}
		}
		So(n, ShouldBeBetween, 1800, 2200)
		So(large, ShouldBeBetween, n*85/100, n*95/100)
		So(longest, ShouldBeGreaterThan, 5*sum/n)
	})
	Convey("A base URL whose host is not a loopback IP address is rejected", t, func() {
		So(dragonflyloadfile.CheckBase("http://127.0.0.1:80"), ShouldBeNil)
		So(dragonflyloadfile.CheckBase("http://192.0.2.1:80"), ShouldNotBeNil)
		So(dragonflyloadfile.CheckBase("http://localhost:80"), ShouldNotBeNil)
	})
	Convey("All errors in a settings file are reported at once", t, func() {
		_, err := dragonflyloadfile.Read([]byte(`{"rate":-1,"form":"x","duration":"soon"}`))
		So(err, ShouldNotBeNil)
		for _, setting := range []string{"rate", "form", "duration"} {
			So(err.Error(), ShouldContainSubstring, setting+":")
		}
	})
}
