// Package deps holds the module requirements while the first packages are written.
package deps

import (
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/coder/websocket"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/labstack/echo/v4"
	_ "github.com/labstack/echo/v4/middleware"
	_ "github.com/oklog/run"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/rotisserie/eris"
	_ "github.com/santhosh-tekuri/jsonschema/v6"
	_ "github.com/sirupsen/logrus"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gotest.tools/v3/assert"
	_ "gotest.tools/v3/poll"
	_ "pgregory.net/rapid"
)
