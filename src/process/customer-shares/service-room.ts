/** How much of a service's room for tokens all routers' running requests take, on the layer whose engines are fullest. */
import { isWithinModel, layerCount } from "../../domain/layers.js";
import type { ActiveConfiguration } from "../gateway/active-configuration.js";
import type { LoadEstimate } from "../gateway/fleet-load.js";
import { tokensThatFit } from "../gateway/layer-placement/layer-capacity.js";
import type { ServerRegistry } from "../gateway/server-registry.js";

/** In tokens. */
export interface RoomUse {
    readonly used: number;
    /** Above 0. */
    readonly capacity: number;
}

export class ServiceRoom {
    constructor(
        private readonly configuration: Pick<ActiveConfiguration, "current">,
        private readonly registry: Pick<ServerRegistry, "active">,
        private readonly load: LoadEstimate,
    ) {}

    /** Undefined for a service without engines, whose layers aren't all held, or whose engines state no memory. */
    use(service: string): RoomUse | undefined {
        const engine = this.configuration.current?.services.get(service)?.engine;
        if (engine === undefined) {
            return undefined;
        }
        const used = new Array<number>(engine.layerCount).fill(0);
        const capacity = new Array<number>(engine.layerCount).fill(0);
        for (const { id, kind, layers } of this.registry.active(service)) {
            const accelerator = engine.kinds.get(kind ?? "");
            if (accelerator === undefined || layers === undefined || !isWithinModel(layers, engine.layerCount)) {
                continue;
            }
            const tokens = this.load.tokens(id);
            const tokenCapacity = tokensThatFit(engine, accelerator, layerCount(layers));
            for (let layer = layers.first; layer <= layers.last; layer++) {
                used[layer]! += tokens;
                capacity[layer]! += tokenCapacity;
            }
        }
        return findFullest(used, capacity);
    }
}

function findFullest(used: readonly number[], capacity: readonly number[]): RoomUse | undefined {
    let fullest: RoomUse | undefined;
    for (const [layer, layerCapacity] of capacity.entries()) {
        if (!(layerCapacity > 0 && Number.isFinite(layerCapacity))) {
            return undefined;
        }
        if (fullest === undefined || used[layer]! / layerCapacity > fullest.used / fullest.capacity) {
            fullest = { used: used[layer]!, capacity: layerCapacity };
        }
    }
    return fullest;
}
