/**
 * Polls the platform's VM list. The list of a large fleet is long, so each router limits the bandwidth that it spends
 * on it by polling less often. The routers poll at different times and notify each other of leaving backend servers, so
 * that the fleet as a whole detects them quickly.
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

/**
 * Returns the poll interval of one router, in milliseconds before jitter. It keeps to the bandwidth budget, unless the
 * routers together would then poll less than once per `minimumPollMilliseconds`.
 */
export function pollIntervalMilliseconds(entryCount: number, routerCount: number): number {
    const bandwidthIntervalMilliseconds = (entryCount * vmEntryBytes * 1000) / vmListBytesPerSecond;
    const fleetIntervalMilliseconds = routerCount * minimumPollMilliseconds;
    return Math.max(minimumPollMilliseconds, Math.min(bandwidthIntervalMilliseconds, fleetIntervalMilliseconds));
}

export class VmListPoller {
    private timer: ReturnType<typeof setTimeout> | undefined;
    private stopped = false;
    private entryCount = 0;

    constructor(
        private readonly vmList: VmList,
        private readonly routerCount: () => number,
        private readonly random: RandomSource,
        private readonly logger: Logger,
        private readonly onList: (entries: readonly VmEntry[]) => void,
    ) {}

    /** Completes after the first poll, even if that poll fails; later polls run in the background until `stop`. */
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
                this.entryCount = entries.length;
                this.onList(entries);
            }
        }
        catch (error) {
            this.logger.warn("could not read the VM list; retrying at the next poll", { error: String(error) });
        }
        if (!this.stopped) {
            this.timer = setTimeout(() => void this.poll(), this.nextIntervalMilliseconds());
        }
    }

    private nextIntervalMilliseconds(): number {
        const jitter = 1 + pollJitterShare * (2 * this.random.next() - 1);
        return pollIntervalMilliseconds(this.entryCount, this.routerCount()) * jitter;
    }
}
