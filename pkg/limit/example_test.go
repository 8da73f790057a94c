package limit_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"almondreel.example/almondreel/pkg/limit"
)

func ExampleQueue() {
	queue := limit.NewQueue(limit.Options{Ceiling: 1, MaxWaiting: 1})
	request := limit.Request{Organisation: "north", Weight: 1, Cost: 16, StartBy: time.Now().Add(20 * time.Millisecond)}
	permit, err := queue.Acquire(context.Background(), request)
	if err != nil {
		fmt.Println(err)
		return
	}
	_, err = queue.Acquire(context.Background(), request)
	var refusal *limit.Refusal
	fmt.Println(errors.As(err, &refusal), refusal.Cause == limit.WaitTooLong, refusal.RetryAt.After(time.Now()))
	permit.Release()
	// Output: true true true
}
