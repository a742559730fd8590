package server

import (
	"context"
	"testing"
	"time"

	"github.com/redis/go-redis/v9"
)

// TestEmulatedCounterSpeaksRedis: the emulated counter must work with an unmodified Redis client.
func TestEmulatedCounterSpeaksRedis(t *testing.T) {
	counter, err := StartCounter("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer counter.Close()
	ctx := context.Background()
	c := redis.NewClient(&redis.Options{Addr: counter.Addr(), MaxRetries: -1})
	defer c.Close()
	pipe := c.Pipeline()
	sum := pipe.IncrByFloat(ctx, "a", 2.5)
	nx := pipe.ExpireNX(ctx, "a", 0)
	_ = nx
	if _, err := pipe.Exec(ctx); err == nil {
		t.Error("EXPIRE is not supported and must return an error")
	}
	if sum.Val() != 2.5 {
		t.Errorf("%v", sum)
	}
	if ok, err := c.PExpire(ctx, "a", time.Minute).Result(); !ok || err != nil {
		t.Error(ok, err)
	}
	if d := c.PTTL(ctx, "a").Val(); d <= 0 || d > time.Minute {
		t.Error(d)
	}
	if v := c.IncrByFloat(ctx, "a", -0.5).Val(); v != 2 {
		t.Error(v)
	}
	if v, err := c.Get(ctx, "a").Float64(); v != 2 || err != nil {
		t.Error(v, err)
	}
	if _, err := c.Get(ctx, "b").Result(); err != redis.Nil {
		t.Error(err)
	}
	if c.Del(ctx, "a", "b").Val() != 1 || c.Ping(ctx).Val() != "PONG" {
		t.Error("DEL or PING")
	}
	if err := c.IncrByFloat(ctx, "a", 1e308).Err(); err != nil {
		t.Error(err)
	}
	if err := c.IncrByFloat(ctx, "a", 1e308).Err(); err == nil {
		t.Error("an overflow is accepted")
	}
}
