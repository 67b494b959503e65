/**
 * Finds routers to join through: the seeds in the settings, the routers in the platform's list of VMs (which may be
 * stale), and members declared dead. From time to time it also contacts one of them that is not present in this
 * router's view, so that the parts of a fleet find each other after a partition.
 */
import { monotonicNow } from "../../common/clock.js";
import type { RandomSource } from "../../common/random.js";
import { randomInteger, shuffle } from "../../common/random.js";
import { RouterState } from "../../domain/fleet.js";
import type { VmList } from "../../domain/platform.js";
import type { FleetView } from "./fleet-view.js";
import type { MembershipSettings } from "./settings.js";
import type { Timers } from "./timers.js";

const vmListTimeoutMilliseconds = 1_000;
/** Retry period, and refresh period of the VM list, while this router knows no other present router. */
const isolatedRetryMilliseconds = 1_000;
const maximumJoinAttempts = 3;

export interface SeedFinderDependencies {
    readonly view: FleetView;
    readonly settings: MembershipSettings;
    readonly timers: Timers;
    readonly random: RandomSource;
    readonly vmList: VmList;
    readonly seeds: readonly string[];
    /** Exchanges full state with the router at an address. Returns whether that succeeded. */
    readonly exchange: (address: string) => Promise<boolean>;
}

export class SeedFinder {
    private listedAddresses: readonly string[] = [];
    private vmListReadAt = Number.NEGATIVE_INFINITY;
    private cancelTimer: () => void = () => undefined;
    private stopped = false;

    constructor(private readonly dependencies: SeedFinderDependencies) {}

    /** Tries up to `maximumJoinAttempts` seeds until one answers; further attempts run in the background. */
    async start(): Promise<void> {
        const seeds = shuffle(this.dependencies.random, await this.candidates());
        for (const seed of seeds.slice(0, maximumJoinAttempts)) {
            if (await this.dependencies.exchange(seed)) {
                break;
            }
        }
        this.schedule();
    }

    stop(): void {
        this.stopped = true;
        this.cancelTimer();
    }

    /** Addresses of seeds, listed routers and dead members that are not present in this router's view. */
    async candidates(): Promise<readonly string[]> {
        await this.refreshVmList();
        const { view, seeds } = this.dependencies;
        const present = new Set(view.table.presentMembers().map(member => member.address));
        const dead = view.table.all().filter(member => member.state === RouterState.dead);
        const addresses = new Set([...seeds, ...this.listedAddresses, ...dead.map(member => member.address)]);
        return [...addresses].filter(address => !present.has(address));
    }

    private get isIsolated(): boolean {
        return this.dependencies.view.table.presentMembers().length <= 1;
    }

    private schedule(): void {
        if (this.stopped) {
            return;
        }
        const { settings, random, timers } = this.dependencies;
        const periodMilliseconds = this.isIsolated ? isolatedRetryMilliseconds : settings.reconnectPeriodMilliseconds;
        this.cancelTimer = timers.after(
            periodMilliseconds * (0.5 + random.next()),
            () => void this.exchangeWithCandidate(),
        );
    }

    private async exchangeWithCandidate(): Promise<void> {
        const candidates = await this.candidates();
        const address = candidates[randomInteger(this.dependencies.random, candidates.length)];
        if (address !== undefined && !this.stopped) {
            await this.dependencies.exchange(address);
        }
        this.schedule();
    }

    private async refreshVmList(): Promise<void> {
        const now = monotonicNow();
        const { settings, vmList } = this.dependencies;
        const maximumAgeMilliseconds = this.isIsolated ? isolatedRetryMilliseconds : settings.vmListRefreshMilliseconds;
        if (now - this.vmListReadAt < maximumAgeMilliseconds) {
            return;
        }
        this.vmListReadAt = now;
        try {
            const entries = await vmList.list(vmListTimeoutMilliseconds);
            this.listedAddresses = entries.filter(entry => entry.kind === "router" && entry.state === "live")
                .map(entry => entry.address);
        }
        catch {
            // The list that was read last and the seeds in the settings stay in use.
        }
    }
}
