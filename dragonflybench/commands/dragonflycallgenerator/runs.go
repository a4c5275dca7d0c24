package dragonflycallgenerator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"
)

// Runs returns the number of runs that the services at urls have recorded, summed
// by the hex SHA-256 of the body.
func Runs(ctx context.Context, urls ...string) (runs map[string]int, err error) {
	defer func() { err = errors.WithMessage(err, "read records") }()
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(time.Second))
	if err != nil {
		return nil, err
	}
	defer c.CloseIdleConnections()
	runs = map[string]int{}
	for _, url := range urls {
		status, body, err := c.GetTimeout(ctx, nil, url+"/record", timeout)
		if err != nil {
			return nil, err
		}
		if status != 200 {
			return nil, errors.Errorf("%s responded with status %d", url, status)
		}
		var record struct {
			Runs map[string]int `json:"runs-by-body"`
		}
		if err := json.Unmarshal(body, &record); err != nil {
			return nil, err
		}
		for body, n := range record.Runs {
			runs[body] += n
		}
	}
	return runs, nil
}
