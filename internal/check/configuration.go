package check

import (
	"errors"

	"raventrestle/internal/configuration"
)

// Configuration checks a complete configuration, as if it were the first one. The error says that the file can't be read.
func Configuration(path string) (Report, error) {
	body, err := ReadFile(path)
	if err != nil {
		return Report{}, err
	}
	document, err := configuration.ParseDocument(body)
	if err == nil {
		err = configuration.Validate(document.Configuration(), nil)
	}
	var invalid *configuration.InvalidError
	switch {
	case errors.As(err, &invalid):
		var findings []Finding
		for _, item := range invalid.Items {
			findings = append(findings, Finding{Item: item.Item, Reason: item.Reason})
		}
		return failed(findings), nil
	case err != nil:
		return failed([]Finding{{Item: "file", Reason: err.Error()}}), nil
	}
	valid := document.Configuration()
	return passed("generation %d: %d routes, %d services, %d tenants", valid.Generation, len(valid.Routes),
		len(valid.Services), len(valid.Tenants)), nil
}
