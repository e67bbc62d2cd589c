package config

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// InvalidSettingError reports a setting that is missing or has a value that is not allowed.
type InvalidSettingError struct {
	Setting string // name of the setting in the file, after those of the tables that contain it
	Reason  string
}

// Error implements error.
func (e *InvalidSettingError) Error() string { return e.Setting + ": " + e.Reason }

// invalidSetting returns an InvalidSettingError with a formatted reason.
func invalidSetting(setting, format string, args ...any) error {
	return &InvalidSettingError{Setting: setting, Reason: fmt.Sprintf(format, args...)}
}

// SyntaxError reports a settings file that can't be decoded. Its text is one line, without an excerpt
// of the file.
type SyntaxError struct {
	Message string
	Err     error // error of the decoder
}

// Error implements error.
func (e *SyntaxError) Error() string { return e.Message }

// Unwrap returns the error of the decoder.
func (e *SyntaxError) Unwrap() error { return e.Err }

// newTOMLSyntaxError returns a SyntaxError that names the line, the column and the key of a TOML error.
func newTOMLSyntaxError(err *toml.DecodeError) error {
	row, column := err.Position()
	key := strings.Join(err.Key(), ".")
	return &SyntaxError{Message: fmt.Sprintf("line %d, column %d: %s: %s", row, column, key, err.Error()), Err: err}
}

// newYAMLSyntaxError returns a SyntaxError for an error of the YAML decoder.
func newYAMLSyntaxError(err error) error {
	return &SyntaxError{Message: singleLineError(err), Err: err}
}
