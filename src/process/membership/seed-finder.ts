/**
 * Finds routers to join: from the settings, from the platform's list, which lags, and from those that were here. It
 * also tries, now and then, one that is not seen alive, so that the parts of a fleet find each other after a partition.
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
/** A router that knows no other tries again this soon. */
const aloneRetryMilliseconds = 1_000;
const joinAttempts = 3;

export interface SeedFinderParts {
    readonly view: FleetView;
    readonly settings: MembershipSettings;
    readonly timers: Timers;
    readonly random: RandomSource;
    readonly vmList: VmList;
    readonly seeds: readonly string[];
    /** Whether the exchange with an address succeeded. */
    readonly exchange: (address: string) => Promise<boolean>;
}

export class SeedFinder {
    private listed: readonly string[] = [];
    private listedAt = Number.NEGATIVE_INFINITY;
    private cancelTimer: () => void = () => undefined;
    private stopped = false;

    constructor(private readonly parts: SeedFinderParts) {}

    /** Tries some seeds once; goes on in the background. */
    async start(): Promise<void> {
        const seeds = shuffle(this.parts.random, await this.candidates());
        for (const seed of seeds.slice(0, joinAttempts)) {
            if (await this.parts.exchange(seed)) {
                break;
            }
        }
        this.schedule();
    }

    stop(): void {
        this.stopped = true;
        this.cancelTimer();
    }

    /** Addresses of routers that are not seen as present. */
    async candidates(): Promise<readonly string[]> {
        await this.refresh();
        const { view, seeds } = this.parts;
        const present = new Set(view.table.presentMembers().map(member => member.address));
        const dead = view.table.all().filter(member => member.state === RouterState.dead);
        const addresses = new Set([...seeds, ...this.listed, ...dead.map(member => member.address)]);
        return [...addresses].filter(address => !present.has(address));
    }

    private get isAlone(): boolean {
        return this.parts.view.table.presentMembers().length <= 1;
    }

    private schedule(): void {
        if (this.stopped) {
            return;
        }
        const { settings, random, timers } = this.parts;
        const period = this.isAlone ? aloneRetryMilliseconds : settings.reconnectMilliseconds;
        this.cancelTimer = timers.after(period * (0.5 + random.next()), () => void this.tryOne());
    }

    private async tryOne(): Promise<void> {
        const candidates = await this.candidates();
        const address = candidates[randomInteger(this.parts.random, candidates.length)];
        if (address !== undefined && !this.stopped) {
            await this.parts.exchange(address);
        }
        this.schedule();
    }

    private async refresh(): Promise<void> {
        const now = monotonicNow();
        const { settings, vmList } = this.parts;
        const age = this.isAlone ? aloneRetryMilliseconds : settings.seedListMilliseconds;
        if (now - this.listedAt < age) {
            return;
        }
        this.listedAt = now;
        try {
            const entries = await vmList.list(vmListTimeoutMilliseconds);
            this.listed = entries.filter(entry => entry.kind === "router" && entry.state === "live")
                .map(entry => entry.address);
        }
        catch {
            // The last list and the settings' seeds are used.
        }
    }
}
