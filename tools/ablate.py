#!/usr/bin/env python3
"""Takes one mechanism away at a time, in a copy of the tree, and runs the test
that is meant to miss it. A test that still passes proves nothing, and is
reported. Usage: tools/ablate.py [name ...]"""
import os, pathlib, shutil, subprocess, sys, tempfile

# name, file, what stands there, what is put in its place, module, test
CASES = [
    ("backup-sync", "crux/lead.go", "if err == nil && r.Ok {", "if err == nil && r.Ok || true {", "crux", "TestAckedSurvives"),
    ("operation-ids", "crux/lead.go", "if p, ok := c.roll.past[e.Op]; ok && e.Op != \"\" {", "if p, ok := c.roll.past[e.Op]; ok && false {", "crux", "TestAckedSurvives"),
    ("anew-living", "crux/anew.go", "if holds(rec.Holders, s.Disk) {", "if false {", "crux", "TestFoundAnewBounced"),
    ("anew-deals", "crux/anew.go", "	c.roll.grants = map[word.Key]Grant{}\n", "	_ = word.Key(\"\")\n", "crux", "TestFoundAnew$"),
    ("lease-check", "crux/agent.go", "if !leased && (", "if !leased && false && (", "crux", "TestOneHolder"),
    ("lease-floor", "crux/agent.go", "|| uint64(s.seq) < a.floor.Load()", "", "crux", "TestLateNews"),
    ("torn-tail", "seam/disk.go", "if good == len(body) {", "if true {", "seam", "TestTornTail|TestSpoiltTail"),
    ("damage", "seam/disk.go", "			bad = true\n			continue\n", "			break\n", "seam", "TestDamage"),
    ("ledger-lag", "passage/ledger.go", "h.moved.Before(asked.Add(-l.lag)) && !on[id]", "!on[id]", "passage", "TestLedger"),
    ("ledger-grant", "passage/ledger.go", " && !l.asked.Before(l.since.Add(l.lag))", "", "passage", "TestLedgerWaits"),
    ("ramp", "passage/ledger.go", "if l.ramp <= 0 || age >= l.ramp {", "if true {", "passage", "TestRamp"),
    ("piece-index", "passage/controller.go", "if p.Index != len(f.sent) {", "if false {", "passage", "TestBadPieces"),
    ("end-count", "passage/controller.go", "if p.Count != len(f.sent) {", "if false {", "passage", "TestBadPieces"),
    ("identity", "passage/controller.go", "if got == nil || !f.fits(&m, got) {", "if got == nil {", "passage", "TestForeignIdentity"),
    ("claimed-once", "passage/clean.go", "case err != nil && f.t.Claimed && f.runs:", "case false:", "passage", "TestClaimedOnce"),
    ("claimed-where", "passage/controller.go", "t.Claim != nil && f.seat != now {", "t.Claim != nil && f.seat != now && false {", "passage", "TestClaimedWhere"),
    ("claimed-life", "verge/settle.go", "case a.Life != d.Life:", "case false:", "proof", "TestRunLostWithBoth"),
    ("orphan-wait", "passage/clean.go", "seam.Sleep(ctx, f.Orphan+300*time.Millisecond)", "_ = time.Second; _ = seam.Sleep", "passage", "TestOrphanWait"),
    ("import-room", "guise/move.go", "case !w.pool.fits(whole):", "case false:", "guise", "TestLoudImport"),
    ("digest", "guise/move.go", "if int64(len(all)) != r.ident.Length || digest(all) != r.ident.Digest {", "if false {", "guise", "TestSpoilt"),
    ("worker-fence", "guise/serve.go", "if l.Fence < w.fence && !w.fault.Forget {", "if false {", "guise", "TestFence"),
    ("tombstone", "guise/serve.go", "id.Attempt <= n && !w.fault.Forget", "id.Attempt <= n && false", "guise", "TestOrphans"),
    ("program-clearing", "whim/deck.go", "return clear(q, some, got)", "_ = clear\n	return got, nil", "whim", "TestHostile|TestLeftOut"),
    ("wish-clearing", "whim/turn.go", "err = clearWish(p, w)", "_ = clearWish", "whim", "TestTurnPrograms"),
    ("booked-is-no-pressure", "passage/ledger.go", "if h.moved != 0 {\n			s.Work++", "if true {\n			s.Work++", "proof", "TestTurning"),
    ("last-of-a-part", "verge/switch.go", "return same >= 1 && len(after) >= min(2, len(before))", "return true", "verge", "TestTurns"),
    ("program-steps", "whim/star.go", "	t.SetMaxExecutionSteps(s.steps)\n", "	t.SetMaxExecutionSteps(1 << 40)\n", "whim", "TestHostile"),
    ("leaving", "verge/node.go", "return ok && !l.Leaving && !(*n.leave.Load())[id] &&", "return ok &&", "proof", "TestScripts/workers-leave$"),
    ("leaving-told", "verge/node.go", " && !(*n.leave.Load())[id]", "", "proof", "TestScripts/worker-leaves-its"),
    ("evacuation", "lore/view.go", "s.Zones[z] = true", "s.Zones[z] = false", "proof", "TestScripts/zone-evacuated"),
    ("version-spread", "lore/view.go", "if uint64(n) <= old {", "if true {", "proof", "TestScripts/storm-with-a-node-cut-from-the-core"),
    ("compare-and-set", "lore/state.go", "if c.Base != s.newest() {", "if false {", "proof", "TestScripts/operators-race|TestBadPolicies"),
    ("held-picks", "lore/view.go", "func (v *View) Settled() bool { return uint64(v.sight.Load().Version) >= v.heard.Load() }", "func (v *View) Settled() bool { return true }", "lore", "TestHeard"),
    ("current", "verge/beats.go", "return heard*2 > len(ms)", "return true", "proof", "TestScripts/storm-with-a-node-cut-from-its"),
    ("current-by-answers", "verge/beats.go", "!now.Past(v.(mate).told, currentSpan)", "!now.Past(v.(mate).at, currentSpan)", "verge", "TestCurrentByAnswers"),
    ("current-from-asking", "verge/beats.go", "n.learn(ctx, m, r, asked)", "_ = asked\n					n.learn(ctx, m, r, n.now())", "verge", "TestCurrentByAnswers"),
    ("stale-after-claim", "passage/controller.go", "if h.Stale() {", "if h.Stale() && false {", "passage", "TestStaleAfterClaim"),
    ("silent-nodes", "lore/machine.go", "seen >= d.seq || now.Past(d.at, m.wait)", "seen >= d.seq", "lore", "TestActivation"),
    ("replace-holders", "crux/lead.go", "if s.Disk == c.me.Disk || !now.Past(at, c.opt.Replace) {", "if true || now.Past(at, c.opt.Replace) {", "proof", "TestScripts/rolling-replacement"),
    ("evacuation-at-holder", "verge/holder.go", "if !n.fit(s, q.Worker) || !settled ||", "if !settled ||", "proof", "TestScripts/zone-emptied-with"),
    ("doors-staggered", "door/ask.go", "case <-wait.C:", "case <-(chan time.Time)(nil):", "proof", "TestScripts/zone-emptied-with"),
    ("large-refused", "lore/policy.go", "n > maxEntries {", "n > 1<<40 {", "lore", "TestTooLarge"),
    ("staged-number", "lore/machine.go", "if err == nil && kind == StageKind {", "if false {", "lore", "TestActivation"),
    ("retry-budget", "verge/settle.go", "if p.coins < 1 {", "if false {", "proof", "TestScripts/memory-lost"),
    ("appointments", "verge/tide.go", "for at < tideSpan-1 && t.booked[at] >= room {", "for at < tideSpan-1 && t.booked[at] >= room && false {", "verge", "TestTide"),
    ("claim", "lore/state.go", "if d, ok := s.deeds[c.Key]; ok {", "if d, ok := s.deeds[c.Key]; ok && false {", "proof", "TestSameKey"),
    ("old-keys", "lore/state.go", "if d, ok := s.shelf.find(c.Key, c.Digest); ok {", "if d, ok := s.shelf.find(c.Key, c.Digest); ok && false {", "proof", "TestOldKeys"),
    ("sheets-sent", "crux/steward.go", "if err == nil && len(r.Lacks) > 0 {", "if false {", "proof", "TestOldKeys"),
    ("dead-claims", "verge/settle.go", "if !live[d.Owner] {", "if false {", "proof", "TestDeadController"),
    ("regime-clearing", "verge/hands.go", "		_, err := n.allows(regime, st.Id, st.Part)\n		return err == nil", "		return true", "proof", "TestProgramsSeeCleared"),
    ("regime-at-holder", "verge/holder.go", "if _, err := n.check(q); err != nil {", "if _, err := n.check(q); err != nil && false {", "proof", "TestHolderChecks"),
    ("regime-source", "verge/govern.go", "	if q.Verb == verbImport {", "	if false {", "proof", "TestHolderChecks"),
    ("regime-mid-stream", "verge/govern.go", "			_, err := h.n.allows(h.regime, w, part)\n", "			var err error\n", "proof", "TestRevokedMidStep"),
    ("regime-at-each-piece", "verge/hands.go", "		if _, err := h.n.allows(h.regime, w, word.Decode); err != nil {", "		if _, err := h.n.allows(h.regime, w, word.Decode); err != nil && false {", "proof", "TestNextPiece"),
    ("regime-staging", "verge/govern.go", "err == nil && source != \"\" {", "false {", "proof", "TestStaging"),
    ("regime-staging-freed", "passage/controller.go", "	if t.Regime != \"\" {\n", "	if false {\n", "proof", "TestCertified"),
    ("regime-waits", "passage/controller.go", "case since == 0:", "case false:", "passage", "TestGovernedWaits"),
    ("regime-passing", "verge/serve.go", "err != nil && !passed {", "err != nil && false {", "proof", "TestPassed"),
    ("regime-keys", "lore/regime.go", "			if _, ok := register.Clears(g, writ.Subject{Node: NodeName(node)}, \"\", now); !ok {\n				return false", "			if _, ok := register.Clears(g, writ.Subject{Node: NodeName(node)}, \"\", now); !ok {\n				return true", "proof", "TestPassed"),
    ("regime-word", "verge/regime.go", "if !n.agent.Word() {", "if false {", "proof", "TestRevokedWhileCut"),
    ("regime-seal", "lore/machine.go", "if seen >= at {", "if true {", "lore", "TestSeal"),
    ("regime-expiry", "writ/register.go", "e.from <= now.Low && now.High < e.until", "e.from <= now.Low", "proof", "TestExpired"),
    ("regime-revoked", "writ/register.go", "!r.gone(e.serial) && e.until > last", "e.until > last", "proof", "TestRevokedMidStream"),
    ("regime-signature", "writ/writ.go", "case !ed25519.Verify(k.public, c.text(), sig):", "case false:", "writ", "TestRefused"),
    ("regime-time-leaps", "crux/agent.go", "		a.forget()\n", "", "crux", "TestWord"),
    ("regime-time-back", "lore/clock.go", "return min(m.clock.base+int64(now.Since(m.clock.at)), m.time)", "return m.clock.base", "lore", "TestClock"),
    ("regime-time-made-up", "lore/clock.go", "c.base, c.made = c.base+ahead, c.made+ahead", "_ = ahead", "lore", "TestClock"),
    ("regime-time-steady", "lore/clock.go", " && !now.Past(c.last, time.Second)", "", "lore", "TestClock"),
    ("regime-room", "passage/ledger.go", "	if keep > 0 {", "	if false {", "passage", "TestBeside"),
    ("regime-turning", "verge/switch.go", "if clear(me) && !slices", "if false && !slices", "verge", "TestCovered"),
    ("audit-chain", "lore/audit.go", "		case before != nil && r.Prev != before.Hash:", "		case false:", "lore", "TestChain"),
    ("audit-number", "lore/audit.go", "		case before != nil && r.Index != before.Index+1:", "		case false:", "lore", "TestChain"),
    ("audit-begin", "verge/serve.go", "known = h.begin(ctx, t.Identity.Id.Request); return known", "return nil", "proof", "TestAudited"),
    ("audit-with-outcome", "lore/state.go", "	if len(c.Audit) > 0 {", "	if false {", "lore", "TestSettleAudits"),
]


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    bad = 0
    for name, file, old, new, mod, test in CASES:
        if sys.argv[1:] and name not in sys.argv[1:]:
            continue
        with tempfile.TemporaryDirectory() as tmp:
            copy = pathlib.Path(tmp) / "tree"
            shutil.copytree(root, copy, ignore=shutil.ignore_patterns(".git", "bin", "realm-data", "sweep.out"))
            path = copy / file
            text = path.read_text()
            if old not in text:
                print(f"{name}: the text to take away is not in {file}")
                bad += 1
                continue
            path.write_text(text.replace(old, new))
            try:
                run = subprocess.run(["go", "test", "-count=1", "-vet=off", "-timeout", "120s", "-run", test, f"./{mod}"], cwd=copy,
                                     capture_output=True, text=True, timeout=200, env=dict(os.environ, KEELSTAIR_SEEDS="3"))
                out, ok = run.stdout + run.stderr, run.returncode == 0
            except subprocess.TimeoutExpired:
                out, ok = "--- FAIL: timed out", False
        if "build failed" in out or "no tests to run" in out:
            print(f"{name}: {test} did not run:\n{out[:600]}")
            bad += 1
        elif ok:
            print(f"{name}: {test} STILL PASSES without it")
            bad += 1
        else:
            print(f"{name}: {test} fails without it, as it should", flush=True)
    sys.exit(1 if bad else 0)


main()
