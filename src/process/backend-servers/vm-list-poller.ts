/**
 * Reads the platform's list of VMs. The list of a large fleet is long, so that each router reads it seldom; the routers
 * read at different times and tell each other of what leaves, so that together they see it soon.
 */
import type { Logger } from "../../common/logger.js";
import type { RandomSource } from "../../common/random.js";
import type { VmEntry, VmList } from "../../domain/platform.js";
import {
    minimumPollMilliseconds,
    pollJitterShare,
    vmEntryBytes,
    vmListBytesPerSecond,
    vmListTimeoutMilliseconds,
} from "./constants.js";

/** Milliseconds between two reads of one router. */
export function pollIntervalMilliseconds(entryTotal: number, routerTotal: number): number {
    const affordable = (entryTotal * vmEntryBytes * 1000) / vmListBytesPerSecond;
    const needed = routerTotal * minimumPollMilliseconds;
    return Math.max(minimumPollMilliseconds, Math.min(affordable, needed));
}

export class VmListPoller {
    private timer: ReturnType<typeof setTimeout> | undefined;
    private stopped = false;
    private entryTotal = 0;

    constructor(
        private readonly vmList: VmList,
        private readonly routerTotal: () => number,
        private readonly random: RandomSource,
        private readonly logger: Logger,
        private readonly received: (entries: readonly VmEntry[]) => void,
    ) {}

    /** Reads once and goes on reading; a first read that fails is tried again later. */
    async start(): Promise<void> {
        await this.poll();
    }

    stop(): void {
        this.stopped = true;
        clearTimeout(this.timer);
    }

    private async poll(): Promise<void> {
        try {
            const entries = await this.vmList.list(vmListTimeoutMilliseconds);
            if (!this.stopped) {
                this.entryTotal = entries.length;
                this.received(entries);
            }
        }
        catch (error) {
            this.logger.warn("the list of VMs could not be read", { error: String(error) });
        }
        if (!this.stopped) {
            this.timer = setTimeout(() => void this.poll(), this.nextInterval());
        }
    }

    private nextInterval(): number {
        const jitter = 1 + pollJitterShare * (2 * this.random.next() - 1);
        return pollIntervalMilliseconds(this.entryTotal, this.routerTotal()) * jitter;
    }
}
