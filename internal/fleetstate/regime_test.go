// These tests check regimes in a configuration, revocations and the fleet's time.

package fleetstate

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"keelstair.example/coordination"
	"keelstair.example/failure"
	"keelstair.example/ids"
	"keelstair.example/internal/certification"
	"keelstair.example/logging"
)

// regimeConfiguration returns the text of smallConfiguration with one regime and its certificates,
// one field per line.
func regimeConfiguration(t *testing.T, change func(all map[string]any, certs map[string]certification.Certificate)) []byte {
	key, _, err := certification.NewKey()
	require.NoError(t, err)
	day := func(n int) string { return time.Date(2026, 12, 1+n, 0, 0, 0, 0, time.UTC).Format(time.RFC3339) }
	certs := map[string]certification.Certificate{}
	for serial, c := range map[string]certification.Certificate{
		"s1": {Worker: "p1", Roles: []ids.Role{ids.Prefill}},
		"s2": {Worker: "d1", Roles: []ids.Role{ids.Decode}},
		"s3": {Node: "v1"},
	} {
		c.Serial, c.Regime, c.From, c.Until, c.Issuer = serial, "chair", day(0), day(30), "k1"
		c.Sign(key)
		certs[serial] = c
	}
	text, err := CUEToJSON("small", []byte(smallConfiguration))
	require.NoError(t, err)
	all := map[string]any{}
	require.NoError(t, json.Unmarshal(text, &all))
	all["regimes"] = map[string]any{"chair": map[string]any{"kinds": []string{"verdict"}}}
	all["issuers"] = map[string]any{"k1": certification.Issuer{
		Key:   certification.EncodePublicKey(key),
		From:  day(-1),
		Until: day(100),
	}}
	all["certificates"] = certs
	if change != nil {
		change(all, certs)
	}
	out, err := json.MarshalIndent(all, "", "  ")
	require.NoError(t, err)
	return out
}

// lineNumberOf returns the number of the first line that contains substring, or 0.
func lineNumberOf(text []byte, substring string) int {
	for i, line := range strings.Split(string(text), "\n") {
		if strings.Contains(line, substring) {
			return i + 1
		}
	}
	return 0
}

// TestRegimes checks that a configuration with regimes is accepted, that its completed text parses to
// the same configuration, and that its certificates compile. Each fault is rejected with the file,
// the line and the reason.
func TestRegimes(t *testing.T) {
	p, complete, err := ParseComplete("f.cue", regimeConfiguration(t, nil))
	require.NoError(t, err)
	again, _, err := ParseComplete("f.cue", complete)
	require.NoError(t, err)
	require.Equal(t, p, again)
	require.Equal(t, 20, p.Regimes["chair"].ReservedPercent)
	r, err := p.CompileRegister()
	require.NoError(t, err)
	now := certification.ExactTime(time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC))
	serial, ok := r.Authorizes("chair", certification.Subject{Worker: "d1"}, ids.Decode, now)
	require.True(t, ok)
	require.Equal(t, "s2", serial)
	type certs = map[string]certification.Certificate
	set := func(f func(c *certification.Certificate)) func(map[string]any, certs) {
		return func(_ map[string]any, all certs) { c := all["s2"]; f(&c); all["s2"] = c }
	}
	for wantError, test := range map[string]struct {
		change func(map[string]any, certs)
		at     string // text of the line that the error names
	}{
		`unknown regime "x"`: {set(func(c *certification.Certificate) {
			c.Regime = "x"
		}), `"regime": "x"`},
		`conflicting values "s9" and "s2"`: {func(_ map[string]any, all certs) { all["s9"] = all["s2"] }, `"s9"`},
		`no certified decode worker offers "m"`: {func(_ map[string]any, all certs) {
			delete(all, "s2")
		}, `"regimes"`},
		`no certified prefill worker offers "m"`: {func(_ map[string]any, all certs) {
			delete(all, "s1")
		}, `"regimes"`},
		"no router node": {func(_ map[string]any, all certs) {
			delete(all, "s3")
		}, `"regimes"`},
		"is not after its start": {set(func(c *certification.Certificate) {
			c.Until = "2026-11-01T00:00:00Z"
		}), `"until": "2026-11-01`},
		"forged, altered": {set(func(c *certification.Certificate) {
			c.Until = "2027-11-01T00:00:00Z"
		}), `"signature"`},
		"truncated": {set(func(c *certification.Certificate) {
			c.Signature = "AAAA"
		}), `"AAAA"`},
		`issuer "k7" is foreign`: {set(func(c *certification.Certificate) {
			c.Issuer = "k7"
		}), `"issuer": "k7"`},
		`unknown kind "fine"`: {func(all map[string]any, _ certs) {
			all["regimes"] = map[string]any{"chair": map[string]any{"kinds": []string{"fine"}}}
		}, `"kinds": [`},
		"it governs no kind": {func(all map[string]any, _ certs) {
			all["regimes"] = map[string]any{"chair": map[string]any{"kinds": []string{}}}
		}, `"kinds": []`},
		"chair.routes: field not allowed": {func(all map[string]any, _ certs) {
			all["regimes"] = map[string]any{"chair": map[string]any{
				"kinds":  []string{"verdict"},
				"routes": []string{"r"},
			}}
		}, `"routes"`},
		"invalid value 99 (out of bound <=90)": {func(all map[string]any, _ certs) {
			all["regimes"] = map[string]any{"chair": map[string]any{"kinds": []string{"verdict"}, "keep": 99}}
		}, `"keep"`},
		"there are certificates and no regime": {func(all map[string]any, _ certs) {
			delete(all, "regimes")
		}, `"certificates"`},
	} {
		t.Run(wantError, func(t *testing.T) {
			text := regimeConfiguration(t, test.change)
			_, _, err := ParseComplete("f.cue", text)
			require.Error(t, err)
			require.True(t, failure.Is(err, failure.InvalidArgument))
			if e := ValidateSource("f.cue", text, true); e != nil {
				err = e
			}
			err = LocateFault("f.cue", text, err)
			require.ErrorContains(t, err, wantError)
			n := lineNumberOf(text, test.at)
			if test.at == `"kinds": [` || test.at == `"signature"` {
				n = strings.Count(string(text[:strings.LastIndex(string(text), test.at)]), "\n") + 1
				if test.at == `"signature"` {
					s2 := strings.Index(string(text), `"s2"`)
					n = strings.Count(string(text[:s2+strings.Index(string(text[s2:]), test.at)]), "\n") + 1
				}
			}
			if test.at == `"regimes"` || test.at == `"s9"` {
				n++ // the error names the next line
			}
			require.ErrorContains(t, err, fmt.Sprintf("f.cue:%d:", n))
			require.NotContains(t, err.Error(), "\n")
		})
	}
	_, _, err = ParseComplete(
		"f.cue",
		[]byte(strings.Replace(string(regimeConfiguration(t, nil)), `"certificates": {`, `"certificates": {"s1": {}, `, 1)),
	)
	require.ErrorContains(t, err, "f.cue:3:")
	require.ErrorContains(t, err, "certificates.s1 stands twice")
}

// TestCheckCertificateChanges checks that a serial of the previous configuration can't be reused for
// another certificate, and that an expired certificate can't be added unless the time is unknown. A
// certificate that expires while it is configured doesn't block later changes.
func TestCheckCertificateChanges(t *testing.T) {
	previous, _, err := ParseComplete("f", regimeConfiguration(t, nil))
	require.NoError(t, err)
	next, _, err := ParseComplete("f", regimeConfiguration(t, nil)) // another key, hence other signatures
	require.NoError(t, err)
	early := certification.ExactTime(time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC))
	late := certification.ExactTime(time.Date(2027, 1, 30, 0, 0, 0, 0, time.UTC))
	require.NoError(t, previous.CheckCertificateChanges(previous, late))
	require.ErrorContains(t, next.CheckCertificateChanges(previous, early), "stands for another certificate")
	require.NoError(t, previous.CheckCertificateChanges(&Configuration{}, early))
	require.ErrorContains(t, previous.CheckCertificateChanges(&Configuration{}, late), "it has expired")
	require.NoError(t, previous.CheckCertificateChanges(&Configuration{}, certification.TimeBounds{}), "the time is not known")
}

// TestOverlayWithCertificates checks that an overlay of other fields keeps the certificates, that an
// overlay that removes the certificate of the last certified decode worker of a regime is rejected,
// and that one that removes the regime with its certificates is accepted.
func TestOverlayWithCertificates(t *testing.T) {
	_, complete, err := ParseComplete("f", regimeConfiguration(t, nil))
	require.NoError(t, err)
	p, _, err := Overlay("f", complete, []byte(`{"limits":{"queue":3}}`))
	require.NoError(t, err)
	require.Len(t, p.Certificates, 3)
	_, _, err = Overlay("f", complete, []byte(`{"certificates":{"s2":null}}`))
	require.ErrorContains(t, err, "no certified decode worker")
	_, _, err = Overlay(
		"f",
		complete,
		[]byte(
			`{"workers":{"d1":{"zone":"a","part":"decode","model":"m","weights":"w1","room":9},"d2":{"zone":"a","part":"decode","model":"m","weights":"w1","room":9}},"certificates":null,"regimes":null,"issuers":null}`,
		),
	)
	require.NoError(t, err)
}

// applyAll applies commands to a machine and returns their kinds.
func applyAll(t *testing.T, m *Machine, commands []coordination.Command) (out []string) {
	for _, c := range commands {
		_, err := m.Apply(9, c.Kind, c.Body)
		require.NoError(t, err)
		out = append(out, c.Kind)
	}
	return out
}

// TestRevocationConfirmed checks that a revocation is confirmed once every node with a lease has
// applied it, also by a primary that restored it from a snapshot. A view enforces the revocation as
// soon as it has applied it.
func TestRevocationConfirmed(t *testing.T) {
	m := NewMachine(MachineOptions{})
	_, err := m.Apply(7, RevokeKind, coordination.MustMarshal(&Revoke{"s1"}))
	require.NoError(t, err)
	_, err = m.Apply(8, RevokeKind, coordination.MustMarshal(&Revoke{"s1"}))
	require.ErrorIs(t, err, coordination.ErrUnchanged)
	require.Empty(t, m.DueCommands(1, 9, 6))
	other := NewMachine(MachineOptions{})
	require.NoError(t, other.Restore(m.Snapshot(false)))
	require.Empty(t, other.DueCommands(1, 9, 8), "the entry of the revocation is not known after a restore")
	require.Equal(t, []string{ConfirmRevocationKind}, applyAll(t, m, m.DueCommands(1, 9, 7)))
	require.Equal(t, []string{ConfirmRevocationKind}, applyAll(t, other, other.DueCommands(1, 12, 9)))
	require.Empty(t, m.DueCommands(1, 10, 10))
	_, err = m.Apply(11, ConfirmRevocationKind, coordination.MustMarshal(&ConfirmRevocation{"s1"}))
	require.True(t, failure.Is(err, failure.Stale))
	v := NewView(logging.Discard())
	v.Observe(1, PrepareKind, coordination.MustMarshal(&PrepareVersion{Text: regimeConfiguration(t, nil)}))
	v.NoteVersion(1)
	require.Empty(t, v.Current().RevokedSerials)
	v.Observe(2, RevokeKind, coordination.MustMarshal(&Revoke{"s1"}))
	now := certification.ExactTime(time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC))
	_, ok := v.Current().Register.Authorizes("chair", certification.Subject{Worker: "p1"}, ids.Prefill, now)
	require.False(t, ok)
	_, ok = v.Current().Register.Authorizes("chair", certification.Subject{Worker: "d1"}, ids.Decode, now)
	require.True(t, ok)
	require.Equal(t, map[string]bool{"s1": false}, v.Current().RevokedSerials)
	v.Observe(3, ConfirmRevocationKind, coordination.MustMarshal(&ConfirmRevocation{"s1"}))
	require.Equal(t, map[string]bool{"s1": true}, v.Current().RevokedSerials)
}

// TestClock checks that the fleet's time advances with the primary's monotonic clock and is not
// affected by steps of the wall clock. A new primary continues from the bound, and no time that is
// returned is lower than an earlier one. Without regimes there is no fleet time.
func TestClock(t *testing.T) {
	wall := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	ms := func(n int) ids.Tick { return ids.Tick(time.Duration(n) * time.Millisecond) }
	build := func() *Machine { return NewMachine(MachineOptions{WallClock: func() time.Time { return wall }}) }
	a, b := build(), build()
	require.Empty(t, a.DueCommands(ms(1), 1, 1), "nothing is written without regimes")
	require.Zero(t, a.Time(ms(1)))
	machines := []*Machine{a, b}
	apply := func(kind string, body []byte) {
		for _, m := range machines {
			_, err := m.Apply(1, kind, body)
			require.NoError(t, err)
		}
	}
	apply(PrepareKind, coordination.MustMarshal(&PrepareVersion{Text: regimeConfiguration(t, nil)}))
	apply(CommitKind, coordination.MustMarshal(&CommitVersion{1}))
	writes, minTime := 0, int64(0)
	runPrimary := func(m *Machine, from, to int) int64 {
		var now int64
		for at := from; at < to; at += 200 {
			for _, c := range m.DueCommands(ms(at), 1, 1) {
				writes++
				apply(c.Kind, c.Body)
			}
			now = m.Time(ms(at))
			require.GreaterOrEqual(t, now, minTime, "at %d ms", at)
			minTime = now
		}
		return now
	}
	first := runPrimary(a, 1000, 11200)
	require.Equal(t, 10*time.Second, time.Duration(first-wall.UnixNano()))
	require.InDelta(t, 10, writes, 1, "one write per second")
	wall = wall.AddDate(1, 0, 0)
	second := runPrimary(a, 11200, 21200)
	require.Equal(t, 10*time.Second, time.Duration(second-first), "a step of the wall clock has no effect")
	require.Zero(t, b.Time(ms(21200)), "it is not the primary")
	// The monotonic clocks of two replicas are unrelated.
	afterTakeover := runPrimary(b, 500000, 510200)
	require.LessOrEqual(t, time.Duration(afterTakeover-second), 12*time.Second)
	afterReturn := runPrimary(a, 60000, 61200)
	require.Greater(t, afterReturn, afterTakeover)
	require.LessOrEqual(t, time.Duration(afterReturn-afterTakeover), 3200*time.Millisecond)
	c := build()
	require.NoError(t, c.Restore(a.Snapshot(false)))
	minTime, machines = afterReturn, append(machines, c)
	require.Greater(t, runPrimary(c, 10, 1000), afterReturn)
	require.False(t, a.Published(AdvanceClockKind), "nodes get the time with their leases")
	// A new primary advances its time according to reports of nodes, only within clockCatchUpWindow and
	// by at most maxClockCatchUp.
	d := build()
	require.NoError(t, d.Restore(c.Snapshot(false)))
	machines = append(machines, d)
	minTime = 0
	start := runPrimary(d, 1000, 1200)
	d.Observe(ms(1200), start+int64(12*time.Second))
	require.Equal(t, start, runPrimary(d, 1200, 1201)-int64(200*time.Millisecond), "a report beyond the limit is ignored")
	d.Observe(ms(1400), start+int64(6*time.Second))
	later := runPrimary(d, 1400, 2600)
	require.InDelta(t, 7, time.Duration(later-start).Seconds(), 0.5)
	d.Observe(ms(2600), later+int64(6*time.Second))
	d.Observe(ms(2600), later-int64(6*time.Second))
	require.InDelta(t, 1, time.Duration(runPrimary(d, 2600, 3800)-later).Seconds(), 0.5)
	later = runPrimary(d, 3800, 6200)
	d.Observe(ms(6200), later+int64(2*time.Second))
	require.Equal(t, later+int64(200*time.Millisecond), runPrimary(d, 6200, 6201), "reports are ignored after the catch-up window")
	// The time of a primary that was suspended advances no further than the bound.
	before := minTime
	require.LessOrEqual(t, time.Duration(runPrimary(d, 90000, 90200)-before), 3*time.Second)
}

// TestEligible checks that only certified nodes are eligible for the duty of a certified worker, and
// that all nodes are eligible for the duties of other workers and for RetryBudgetKey.
func TestEligible(t *testing.T) {
	m := NewMachine(MachineOptions{WallClock: func() time.Time { return time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC) }})
	require.True(t, m.Eligible(WorkerKey("p1"), "v2-aa"))
	for kind, body := range map[string][]byte{PrepareKind: coordination.MustMarshal(&PrepareVersion{Text: regimeConfiguration(t, nil)})} {
		_, err := m.Apply(1, kind, body)
		require.NoError(t, err)
	}
	_, err := m.Apply(1, CommitKind, coordination.MustMarshal(&CommitVersion{1}))
	require.NoError(t, err)
	applyAll(t, m, m.DueCommands(1, 1, 1))
	m.Keys()
	require.True(t, m.Eligible(WorkerKey("p1"), "v1-0123456789abcdef"))
	require.False(t, m.Eligible(WorkerKey("p1"), "v2-0123456789abcdef"))
	require.True(t, m.Eligible(RetryBudgetKey, "v2-0123456789abcdef"))
	_, err = m.Apply(2, RevokeKind, coordination.MustMarshal(&Revoke{"s3"}))
	require.NoError(t, err)
	require.False(t, m.Eligible(WorkerKey("p1"), "v1-0123456789abcdef"))
	_, err = m.Apply(3, RevokeKind, coordination.MustMarshal(&Revoke{"s1"}))
	require.NoError(t, err)
	require.True(t, m.Eligible(WorkerKey("p1"), "v2-0123456789abcdef"), "the worker is not certified any more")
}
