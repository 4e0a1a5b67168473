package commander

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

func TestLossesOfSeveralFiles(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 1)
	dir := t.TempDir()
	args := []string{"losses"}
	for name, text := range map[string]string{
		"r1.log": `{"ts":100,"msg":"ended","process":"r1","status":402,"route":"a","prompt":90,"why":"prepaid total is spent"}`,
		"r2.log": `{"ts":101,"msg":"ended","process":"r2","status":200}`,
	} {
		file := filepath.Join(dir, name)
		g.Expect(os.WriteFile(file, []byte(text+"\n"), 0o600)).To(gomega.Succeed())
		args = append(args, file)
	}
	out, _, code := b.run(args...)
	g.Expect(code).To(gomega.Equal(ExitOK))
	g.Expect(out).To(gomega.Equal(`CAUSE                            REQUESTS  SHARE   PROMPT_TOKENS  MOST_AT   THERE  ROUTES
refused: prepaid total is spent  1         50.00%  90             00:01:40  1      a 1
`))
	_, _, code = b.run("losses")
	g.Expect(code).To(gomega.Equal(ExitUsage))
}
