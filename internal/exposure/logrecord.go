package exposure

import (
	"strconv"
	"strings"
	"time"
)

// logRecord is a record of an instance's log in the text form of log/slog.
type logRecord struct {
	at      time.Time
	message string
	fields  map[string]string // by key; time and msg are among them
}

// parseRecord parses a line from its first "time=" on. It returns false if the line is no record.
func parseRecord(text string) (logRecord, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return logRecord{}, false
	}
	fields := parseFields(text[start:])
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil {
		return logRecord{}, false
	}
	return logRecord{at: at, message: fields["msg"], fields: fields}, true
}

// parseFields parses key=value pairs; a value with spaces is quoted. It stops at text of another form.
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimLeft(text, " ") {
		key, rest, found := strings.Cut(text, "=")
		if !found {
			return fields
		}
		quoted, err := strconv.QuotedPrefix(rest)
		if err == nil {
			fields[key], _ = strconv.Unquote(quoted)
			text = rest[len(quoted):]
			continue
		}
		fields[key], text, _ = strings.Cut(rest, " ")
	}
	return fields
}

// millis returns a field in milliseconds, or 0 if it is missing.
func (r logRecord) millis(key string) time.Duration {
	count, _ := strconv.ParseInt(r.fields[key], 10, 64)
	return time.Duration(count) * time.Millisecond
}
