package placer

import "raventrestle/internal/configuration"

// freeMemoryMB returns how much of the endpoint's weights_mb is certainly free. Everything that may be loaded or may
// still arrive counts as used. While an order of an earlier leader may be in progress, this includes a load of the
// largest model.
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

// modelMemoryMB returns the memory of a loaded model with its adapters. A model that is not configured may use all of
// the endpoint's memory.
func (f *fleet) modelMemoryMB(loaded *loadedModel) float64 {
	model, configured := f.models[loaded.model]
	if !configured {
		return f.engine.WeightMemoryMB
	}
	return model.WeightsMB + float64(len(loaded.adapters))*model.AdapterSizeMB
}

// orderMemoryMB returns the memory that the load of a model or an adapter takes.
func (f *fleet) orderMemoryMB(order Order) float64 {
	model := f.models[order.Model]
	if order.Adapter != "" {
		return model.AdapterSizeMB
	}
	return model.WeightsMB
}

// adapterReserveMB returns the memory that a model's adapters may take in addition to its weights.
func (f *fleet) adapterReserveMB(model configuration.Model) float64 {
	return float64(min(model.AdapterCount, f.engine.AdapterSlots)) * model.AdapterSizeMB
}

// freeAdapterSlots returns how many more adapters the endpoint can certainly load.
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
