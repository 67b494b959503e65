/** Keeps this router's subset of backend servers up to date, doing no work while nothing has changed. */
import type { Fleet } from "../../domain/fleet.js";
import { RouterState } from "../../domain/fleet.js";
import type { BackendServerRecord } from "./backend-server-record.js";
import { type SubsetDepths, SubsetRings, type SubsetRouter } from "./subset.js";

export class SubsetKeeper {
    /** Backend servers that get this router's new work. */
    chosen: ReadonlySet<string> = new Set();
    /** Rises whenever the chosen servers, their usability or their holdings change. */
    revision = 0;
    private circles = new SubsetRings([]);
    private circlesOutdated = true;
    private choiceOutdated = true;
    private routerKey = "";

    constructor(private readonly fleet: Fleet, private readonly depths: SubsetDepths) {}

    /** Servers, their places or their holdings have changed. */
    serversChanged(): void {
        this.circlesOutdated = true;
        this.usabilityChanged();
    }

    /** A server became usable or stopped being so. */
    usabilityChanged(): void {
        this.choiceOutdated = true;
        this.revision++;
    }

    /**
     * Chooses again where needed. Gives the records that need a link: the chosen ones, and those that would be chosen
     * if they could be reached, so that their return is seen. Undefined when nothing has changed.
     */
    refresh(
        records: ReadonlyMap<string, BackendServerRecord>,
        now: number,
    ): Map<string, BackendServerRecord> | undefined {
        const routers = this.liveRouters();
        const routerKey = routers.map(router => router.id).sort().join(" ");
        if (!this.choiceOutdated && routerKey === this.routerKey) {
            return undefined;
        }
        this.routerKey = routerKey;
        this.choiceOutdated = false;
        this.rebuildCircles(records);
        const choose = (isUsable: (id: string) => boolean) =>
            this.circles.choose({ self: this.fleet.self, routers, depths: this.depths, isUsable });
        this.chosen = choose(id => records.get(id)?.isUsable(now) ?? false);
        const wanted = choose(id => !(records.get(id)?.leaving ?? true));
        this.revision++;
        const linked = [...new Set([...this.chosen, ...wanted])].flatMap(id => records.get(id) ?? []);
        return new Map(linked.map(record => [record.id, record]));
    }

    private liveRouters(): SubsetRouter[] {
        return this.fleet.members().filter(member =>
            member.state === RouterState.alive || member.state === RouterState.suspect
        );
    }

    private rebuildCircles(records: ReadonlyMap<string, BackendServerRecord>): void {
        if (!this.circlesOutdated) {
            return;
        }
        this.circlesOutdated = false;
        this.circles = new SubsetRings(
            [...records.values()].filter(record => record.holdings !== undefined).map(record => ({
                id: record.id,
                location: record.description,
                holdings: record.holdings ?? [],
            })),
        );
    }
}
