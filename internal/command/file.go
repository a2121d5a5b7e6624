package command

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
)

// readFile decodes a TOML or JSON file with the keys of the API. An unknown key is an
// error, so that a misspelt limit is not silently ignored.
func readFile(path string, value any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return &usageError{err.Error()}
	}
	if filepath.Ext(path) == ".toml" {
		var generic map[string]any
		if err := toml.Unmarshal(content, &generic); err != nil {
			return &usageError{path + ": " + err.Error()}
		}
		if content, err = json.Marshal(generic); err != nil {
			return &usageError{path + ": " + err.Error()}
		}
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return &usageError{path + ": " + err.Error()}
	}
	return nil
}
