/**
 * Counts the backend servers that hold each layer of each model version, to tell whether a model keeps a complete
 * pipeline when a range is unloaded. Every layer is needed on a server that runs prefill and on one that runs decode.
 */
import { type Holding, ServingRole } from "../../domain/backend-server.js";
import type { ModelDescription } from "../../domain/model.js";

interface LayerCounts {
    readonly prefill: Uint16Array;
    readonly decode: Uint16Array;
}

export class ModelCoverage {
    private readonly versions = new Map<string, Map<string, LayerCounts>>();

    constructor(private readonly models: ReadonlyMap<string, ModelDescription>) {}

    add(holding: Holding, role: ServingRole): void {
        this.count(holding, role, 1);
    }

    remove(holding: Holding, role: ServingRole): void {
        this.count(holding, role, -1);
    }

    /** Whether some version of the model has a complete pipeline for both prefill and decode. */
    hasCompletePipeline(model: string): boolean {
        return [...this.versions.get(model)?.values() ?? []].some(layerCounts =>
            layerCounts.prefill.every(count => count > 0) && layerCounts.decode.every(count => count > 0)
        );
    }

    /** Whether the change would remove the model's last complete pipeline. Applies the change and undoes it again. */
    wouldLoseLastPipeline(model: string, change: () => void, undo: () => void): boolean {
        if (!this.models.has(model) || !this.hasCompletePipeline(model)) {
            return false;
        }
        change();
        const broken = !this.hasCompletePipeline(model);
        undo();
        return broken;
    }

    private count(holding: Holding, role: ServingRole, delta: number): void {
        const model = this.models.get(holding.model);
        if (model === undefined) {
            return;
        }
        const layerCounts = this.layerCounts(holding.model, holding.modelVersion, model.layerTotal);
        const last = Math.min(holding.layers.last, model.layerTotal - 1);
        for (let layer = holding.layers.first; layer <= last; layer++) {
            if (role !== ServingRole.decode) {
                layerCounts.prefill[layer]! += delta;
            }
            if (role !== ServingRole.prefill) {
                layerCounts.decode[layer]! += delta;
            }
        }
    }

    private layerCounts(model: string, version: string, layerTotal: number): LayerCounts {
        const versions = this.versions.get(model) ?? new Map<string, LayerCounts>();
        this.versions.set(model, versions);
        const layerCounts = versions.get(version)
            ?? { prefill: new Uint16Array(layerTotal), decode: new Uint16Array(layerTotal) };
        versions.set(version, layerCounts);
        return layerCounts;
    }
}
