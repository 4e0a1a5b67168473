package commander

import (
	"context"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/messenger"
)

// negativeNumber matches the error for a negative amount that was parsed as a flag.
var negativeNumber = regexp.MustCompile(`shorthand flag: '\d' in (-\d+)`)

var _ = register("budget", func(a *app) *cobra.Command {
	var id, zone string
	c := &cobra.Command{
		Use: "topup WORKSPACE TOKENS", Short: "Add prepaid tokens, once for each id", Args: exactArgs("WORKSPACE", "TOKENS"),
		Long: `Add prepaid tokens, once for each id.

The id is ZONE/UNIQUE: the keeper of the availability zone mints the tokens.
Give the number of a receipt as UNIQUE: the top-up then counts once, however
often and through whichever keeper it is sent.`,
		RunE: func(c *cobra.Command, args []string) error {
			n, err := strconv.ParseInt(args[1], 10, 64)
			if err != nil || n <= 0 {
				return invalidTokens(args[1])
			}
			return a.topUp(c.Context(), &messenger.TopUpRequest{Workspace: args[0], TopUpId: id, Tokens: n}, zone)
		},
	}
	c.Flags().StringVar(&id, "id", "", "identity ZONE/UNIQUE; made when not given")
	c.Flags().StringVar(&id, "change-id", "", "the same as --id")
	c.Flags().StringVar(&zone, "zone", "", "availability zone that mints, when no --id is given")
	c.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		if n := negativeNumber.FindStringSubmatch(err.Error()); n != nil {
			return invalidTokens(n[1])
		}
		return c.Parent().FlagErrorFunc()(c, err)
	})
	return c
})

func invalidTokens(got string) error {
	return merry.Errorf("%w: TOKENS: want a whole number from 1 to 9223372036854775807, without a unit, not %q", ErrUsage, got)
}

func (a *app) topUp(ctx context.Context, r *messenger.TopUpRequest, zone string) error {
	s, err := a.load()
	if err != nil {
		return err
	}
	if r.TopUpId, err = topUpID(s, r.TopUpId, zone); err != nil {
		return err
	}
	var out *messenger.TopUpReply
	err = a.withKeeper(ctx, func(ctx context.Context, k *client) error {
		var err error
		out, err = k.budget().TopUp(ctx, r)
		if outcomeUncertain(err) {
			return merry.Errorf("%w: the top-up may count or not (%s); repeat the same command with --id %s", ErrOutcomeUnknown, reason(k.process, err), r.TopUpId)
		}
		return err
	})
	if err != nil {
		return err
	}
	if a.output == outputJSON {
		return a.printValue(map[string]any{"top_up_id": r.TopUpId, "minted_tokens": out.MintedTokens, "repeated_request": out.RepeatedRequest})
	}
	return a.printTable("TOP_UP MINTED REPEATED", [][]any{{r.TopUpId, out.MintedTokens, out.RepeatedRequest}})
}

func topUpID(s *loader.Settings, id, zone string) (string, error) {
	if id == "" {
		if zone == "" {
			zone = s.Zones()[0]
		}
		id = zone + "/" + uuid.NewString()
	}
	z, ok := rattanhoist.TopUpZone(id)
	if !ok {
		return "", merry.Errorf("%w: --id: want ZONE/UNIQUE, not %q", ErrUsage, id)
	}
	if !slices.Contains(s.Zones(), z) {
		return "", merry.Errorf("%w: --id: no availability zone %q; want one of %s", ErrUsage, z, strings.Join(s.Zones(), ", "))
	}
	return id, nil
}
