package placer

import "raventrestle/internal/configuration"

// freeMemoryMB is what is certainly free of the endpoint's weights_mb. All counts that may be loaded or may be
// arriving; while an order of an earlier leader may be under way, so does a load of the largest model.
func (f *fleet) freeMemoryMB(e *endpoint) float64 {
	free := f.engine.WeightMemoryMB
	for i := range e.models {
		free -= f.modelMemoryMB(&e.models[i])
	}
	if e.pending != nil && !e.pending.order.Unload {
		free -= f.orderMemoryMB(e.pending.order)
	}
	if !e.stateKnown && !e.inheritedOrdersOver {
		free -= f.maxModelMB
	}
	return free
}

// modelMemoryMB is what a loaded model takes with its adapters. One that the configuration does not know may take
// everything.
func (f *fleet) modelMemoryMB(loaded *loadedModel) float64 {
	model, configured := f.models[loaded.model]
	if !configured {
		return f.engine.WeightMemoryMB
	}
	return model.WeightsMB + float64(len(loaded.adapters))*model.AdapterSizeMB
}

// orderMemoryMB is what a load takes, of a model or of an adapter.
func (f *fleet) orderMemoryMB(order Order) float64 {
	model := f.models[order.Model]
	if order.Adapter != "" {
		return model.AdapterSizeMB
	}
	return model.WeightsMB
}

// adapterReserveMB is the memory that a model's adapters may take beside its weights.
func (f *fleet) adapterReserveMB(model configuration.Model) float64 {
	return float64(min(model.AdapterCount, f.engine.AdapterSlots)) * model.AdapterSizeMB
}

// freeAdapterSlots is how many more adapters the endpoint can certainly load.
func (f *fleet) freeAdapterSlots(e *endpoint) int {
	free := f.engine.AdapterSlots
	for i := range e.models {
		free -= len(e.models[i].adapters)
	}
	if e.pending != nil && !e.pending.order.Unload && e.pending.order.Adapter != "" {
		free--
	}
	if !e.stateKnown && !e.inheritedOrdersOver {
		free--
	}
	return free
}
