package commander

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

func TestExplainReadsLogFiles(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 1)
	dir := t.TempDir()
	file := filepath.Join(dir, "r1.log")
	g.Expect(os.WriteFile(file, []byte(`{"ts":100,"msg":"no keeper answers; serving what is known","process":"r1","silence":0.9}
{"ts":104,"msg":"ended","process":"r1","request":"x1","status":503,"took":0.5,"why":"prepaid rights are out of reach"}
`), 0o600)).To(gomega.Succeed())
	out, _, code := b.run("explain", "x1", "--logs", file)
	g.Expect(code).To(gomega.Equal(ExitOK))
	g.Expect(out).To(gomega.Equal(`TIME          CLOCK  PROCESS  REQUEST  MESSAGE                                   FIELDS
00:01:40.000  -      r1       -        no keeper answers; serving what is known  silence=0.9
00:01:44.000  -      r1       x1       ended                                     request="x1" status=503 took=0.5 why="prepaid rights are out of reach"
`))
	out, _, _ = b.run("explain", "x1", "--logs", file, "--output", "json")
	g.Expect(out).To(gomega.MatchJSON(`[
		{"process":"r1","at":"1970-01-01T00:01:40Z","offset_ms":0,"message":"no keeper answers; serving what is known","fields":{"silence":0.9},"own":false},
		{"process":"r1","at":"1970-01-01T00:01:44Z","offset_ms":0,"message":"ended","fields":{"request":"x1","status":503,"took":0.5,"why":"prepaid rights are out of reach"},"own":true}
	]`))
	_, errOut, code := b.run("explain", "x2", "--logs", file)
	g.Expect(code).To(gomega.Equal(ExitFailed))
	g.Expect(errOut).To(gomega.ContainSubstring(`no line of 2 names request "x2"`))
	_, _, code = b.run("explain", "x1", "--logs", filepath.Join(dir, "none.log"))
	g.Expect(code).To(gomega.Equal(ExitUsage))
}

func TestCheckOfOneProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 1)
	file := filepath.Join(t.TempDir(), "node.ini")
	write := func(text string) {
		g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
	}
	const good = "[node]\nname = r1\nkind = router\nzone = a\nip = 10.0.0.1\ninternal_ports = 7000\nseeds = 10.0.0.2:80\nserve = 10.0.0.1:81\nready = 10.0.0.1:82\n"
	write(good + "colour = red\n")
	out, errOut, code := b.run("check", "--node", file)
	g.Expect(code).To(gomega.Equal(ExitOK))
	g.Expect(out).To(gomega.Equal(file + ": router r1 in a, no faults\n"))
	g.Expect(errOut).To(gomega.ContainSubstring("[node] colour: unknown field, ignored"))
	_, _, code = b.run("check", "--node", file, "--strict")
	g.Expect(code).To(gomega.Equal(ExitUsage))
	write("[node]\nname = r1\nkind = baker\n")
	_, errOut, code = b.run("check", "--node", file)
	g.Expect(code).To(gomega.Equal(ExitUsage))
	g.Expect(errOut).To(gomega.ContainSubstring("[node] kind"))
	g.Expect(errOut).To(gomega.ContainSubstring("[node] seeds: missing"))
}
