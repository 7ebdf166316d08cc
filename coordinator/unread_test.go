package coordinator

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"basildale.example/basildale/adapter/keeper"
)

// Guards against a log that fills up because an instance that can't be read comes with each
// list, and against one that doesn't name it.
func TestUnreadInstanceIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zapcore.ErrorLevel)
	log := zap.New(core)
	var unread unreadInstances
	odd := []keeper.Instance{{Name: "a", Role: "proxy"}, {Name: "b", Unread: errors.New("odd")}}
	for range 3 {
		unread.log(log, odd)
	}
	is.Equal(logs.Len(), 1)
	is.Equal(logs.All()[0].ContextMap()["instance"], "b")
	odd[1].Unread = errors.New("odd in another way")
	unread.log(log, odd)
	is.Equal(logs.Len(), 2)
	unread.log(log, odd[:1])
	is.Equal(len(unread), 0)
	is.Equal(len(listed(odd).Proxies), 1)
}
