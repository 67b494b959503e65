/** Maintains this router's subset of backend servers and recomputes it only after a change. */
import type { Fleet } from "../../domain/fleet.js";
import { RouterState } from "../../domain/fleet.js";
import type { BackendServerRecord } from "./backend-server-record.js";
import { type SubsetDepths, SubsetRings, type SubsetRouter } from "./subset.js";

export class SubsetSelector {
    /** IDs of the backend servers to which this router sends new work. */
    selected: ReadonlySet<string> = new Set();
    /** Increases whenever the selected servers, their usability or their holdings may have changed. */
    revision = 0;
    private rings = new SubsetRings([]);
    private ringsOutdated = true;
    private selectionOutdated = true;
    private routerKey = "";

    constructor(private readonly fleet: Fleet, private readonly depths: SubsetDepths) {}

    /** To be called when the set of servers, their locations or their holdings have changed. */
    invalidateRings(): void {
        this.ringsOutdated = true;
        this.invalidateSelection();
    }

    /** To be called when a server became usable or unusable. */
    invalidateSelection(): void {
        this.selectionOutdated = true;
        this.revision++;
    }

    /**
     * Selects the subset again if it is outdated. Returns the records that need an event subscription: the selected
     * ones, and those that would be selected if every server were reachable, so that the recovery of an unreachable
     * server is detected. Returns undefined if nothing has changed.
     */
    refresh(
        records: ReadonlyMap<string, BackendServerRecord>,
        now: number,
    ): Map<string, BackendServerRecord> | undefined {
        const routers = this.liveRouters();
        const routerKey = routers.map(router => router.id).sort().join(" ");
        if (!this.selectionOutdated && routerKey === this.routerKey) {
            return undefined;
        }
        this.routerKey = routerKey;
        this.selectionOutdated = false;
        this.rebuildRings(records);
        const select = (isUsable: (id: string) => boolean) =>
            this.rings.select({ self: this.fleet.self, routers, depths: this.depths, isUsable });
        this.selected = select(id => records.get(id)?.isUsable(now) ?? false);
        const selectedIfReachable = select(id => !(records.get(id)?.leaving ?? true));
        this.revision++;
        const subscribed = [...new Set([...this.selected, ...selectedIfReachable])].flatMap(id =>
            records.get(id) ?? []
        );
        return new Map(subscribed.map(record => [record.id, record]));
    }

    private liveRouters(): SubsetRouter[] {
        return this.fleet.members().filter(member =>
            member.state === RouterState.alive || member.state === RouterState.suspect
        );
    }

    private rebuildRings(records: ReadonlyMap<string, BackendServerRecord>): void {
        if (!this.ringsOutdated) {
            return;
        }
        this.ringsOutdated = false;
        this.rings = new SubsetRings(
            [...records.values()].filter(record => record.holdings !== undefined).map(record => ({
                id: record.id,
                location: record.description,
                holdings: record.holdings ?? [],
            })),
        );
    }
}
