package system

import (
	"encoding/json"
	"testing"

	"raventrestle/internal/configuration"
	"raventrestle/internal/nodeconfig"
)

// What the run writes for the programs is what they take.
func TestSettingsAreGood(t *testing.T) {
	w := &world{directory: t.TempDir(), places: places{first: firstPort}, graceSeconds: usualGraceSeconds}
	for number := range instances {
		settings, err := nodeconfig.Parse("control", []byte(w.controlSettings(number, true)))
		if err != nil {
			t.Fatal(err)
		}
		if settings.ControlAddress != w.places.control(number) || len(settings.Seeds) != instances || !settings.Bootstrap {
			t.Errorf("%+v", settings)
		}
	}
	for number := range usualRouters {
		settings, err := nodeconfig.Parse("router", []byte(w.routerSettings(number)))
		if err != nil {
			t.Fatal(err)
		}
		if settings.IngressAddress != w.places.front(number) || settings.FirstEphemeralPort != firstPort+portInternal {
			t.Errorf("%+v", settings)
		}
	}
}

func TestFirstConfigurationIsGood(t *testing.T) {
	text, err := json.Marshal(firstConfiguration())
	if err != nil {
		t.Fatal(err)
	}
	document, err := configuration.ParseDocument(text)
	if err != nil {
		t.Fatal(err)
	}
	if err := configuration.Validate(document.Configuration(), nil); err != nil {
		t.Error(err)
	}
}
