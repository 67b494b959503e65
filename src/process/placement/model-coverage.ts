/**
 * Counts, for each model version, how many backend servers hold each layer, and so whether a model still has a whole
 * pipeline when a range goes. Prompts need layers on servers that run prompts, generation on those that generate.
 */
import { type Holding, ServingRole } from "../../domain/backend-server.js";
import type { ModelDescription } from "../../domain/model.js";

interface VersionCover {
    readonly prefill: Uint16Array;
    readonly decode: Uint16Array;
}

export class ModelCoverage {
    private readonly versions = new Map<string, Map<string, VersionCover>>();

    constructor(private readonly models: ReadonlyMap<string, ModelDescription>) {}

    add(holding: Holding, role: ServingRole): void {
        this.count(holding, role, 1);
    }

    remove(holding: Holding, role: ServingRole): void {
        this.count(holding, role, -1);
    }

    /** Whether any version of the model has a whole pipeline. */
    isWhole(model: string): boolean {
        return [...this.versions.get(model)?.values() ?? []].some(cover =>
            cover.prefill.every(count => count > 0) && cover.decode.every(count => count > 0)
        );
    }

    /** Whether the change would take away the model's last whole pipeline. */
    breaks(model: string, change: () => void, undo: () => void): boolean {
        if (!this.models.has(model) || !this.isWhole(model)) {
            return false;
        }
        change();
        const broken = !this.isWhole(model);
        undo();
        return broken;
    }

    private count(holding: Holding, role: ServingRole, step: number): void {
        const model = this.models.get(holding.model);
        if (model === undefined) {
            return;
        }
        const cover = this.cover(holding.model, holding.modelVersion, model.layerTotal);
        const last = Math.min(holding.layers.last, model.layerTotal - 1);
        for (let layer = holding.layers.first; layer <= last; layer++) {
            if (role !== ServingRole.decode) {
                cover.prefill[layer]! += step;
            }
            if (role !== ServingRole.prefill) {
                cover.decode[layer]! += step;
            }
        }
    }

    private cover(model: string, version: string, layerTotal: number): VersionCover {
        const versions = this.versions.get(model) ?? new Map<string, VersionCover>();
        this.versions.set(model, versions);
        const cover = versions.get(version)
            ?? { prefill: new Uint16Array(layerTotal), decode: new Uint16Array(layerTotal) };
        versions.set(version, cover);
        return cover;
    }
}
