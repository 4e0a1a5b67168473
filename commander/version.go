package commander

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

var _ = register(root, func(a *app) *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Show the version of the binary", Args: exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			v := buildVersion()
			if a.output == outputJSON {
				return a.printValue(v)
			}
			_, err := fmt.Fprintf(a.out, "rattanhoist %s %s %s\n", v.Version, v.Revision, v.Go)
			return err
		},
	}
})

type versionInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
}

func buildVersion() versionInfo {
	v := versionInfo{Version: "unknown", Revision: "unknown"}
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Version, v.Go = b.Main.Version, b.GoVersion
	for _, s := range b.Settings {
		if s.Key == "vcs.revision" {
			v.Revision = s.Value
		}
	}
	return v
}
