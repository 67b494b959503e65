/**
 * Detects backend servers that accept no new connections, by opening TCP connections to them. A live server accepts a
 * connection within one round trip under any load; a crashed server refuses it, and a server that is cut off from the
 * network does not respond.
 *
 * Silence alone does not tell a lost server from a router that hears late, because its own link or event loop is busy with
 * a new configuration or a burst of traffic: all servers then fall silent together. A silent server therefore counts as
 * unreachable only if another server accepts a connection that was opened later, since its reply would have queued behind
 * the missing one.
 */
import { monotonicNow } from "../../common/clock.js";
import { waitForInput } from "../../common/event-loop.js";
import type { FailureReporter } from "../../common/failure-boundary.js";
import type { Metrics } from "../../common/metrics.js";
import { type RandomSource, shuffle } from "../../common/random.js";
import type { ServerEntry } from "../../domain/gateway/server-entry.js";
import {
    ConnectionProbe,
    type OpenConnection,
    openTcpConnection,
    ProbeOutcome,
    probeTimeoutMilliseconds,
} from "./connection-probe.js";

/** Time by which the reply of a live server may follow that of a control: a few round trips between zones. */
const controlMarginMilliseconds = 5;
/** Connections that are opened to tell silent servers from a router that cannot hear. */
const controlCount = 3;
/** The result of a check is shared by all callers within this time. */
const cacheTtlMilliseconds = 300;

interface CachedProbe {
    readonly startedAt: number;
    readonly probe: ConnectionProbe;
}

export interface ReachabilityCheck {
    /** Resolves to the servers that did not accept a connection in time. */
    findUnreachable(servers: readonly ServerEntry[]): Promise<ServerEntry[]>;
}

export interface ReachabilityOptions {
    /** All servers that should accept connections; some of them serve as controls. */
    knownServers(): readonly ServerEntry[];
    readonly random: RandomSource;
    readonly metrics: Metrics;
    readonly failures: FailureReporter;
    /** Opens a TCP connection unless given. */
    readonly openConnection?: OpenConnection;
}

export class TcpReachabilityCheck implements ReachabilityCheck {
    private readonly probes = new Map<string, CachedProbe>();
    private readonly openConnection: OpenConnection;

    constructor(private readonly options: ReachabilityOptions) {
        this.openConnection = options.openConnection ?? openTcpConnection;
    }

    async findUnreachable(servers: readonly ServerEntry[]): Promise<ServerEntry[]> {
        const probes = servers.map(server => this.probe(server));
        await settledWithin(probes, probeTimeoutMilliseconds);
        const silent = probes.filter(isSilent);
        if (silent.length > 0 && !await this.isAnsweredByControl(servers, probes, silent)) {
            this.options.metrics.increment("pomelostall.gateway.inconclusive_reachability_checks", 1);
            return servers.filter((_server, index) => probes[index]!.outcome === ProbeOutcome.refused);
        }
        return servers.filter((_server, index) => probes[index]!.outcome !== ProbeOutcome.accepted);
    }

    private probe(server: ServerEntry): ConnectionProbe {
        const now = monotonicNow();
        for (const [id, { startedAt }] of this.probes) {
            if (now - startedAt > cacheTtlMilliseconds) {
                this.probes.delete(id);
            }
        }
        const cached = this.probes.get(server.id);
        if (cached !== undefined) {
            return cached.probe;
        }
        const probe = this.openProbe(server);
        this.probes.set(server.id, { startedAt: now, probe });
        return probe;
    }

    private openProbe({ address }: ServerEntry): ConnectionProbe {
        return new ConnectionProbe(address, this.openConnection, this.options.failures);
    }

    /** Whether a server accepts a connection that is opened now, before all of the silent ones have answered. */
    private async isAnsweredByControl(
        servers: readonly ServerEntry[],
        probes: readonly ConnectionProbe[],
        silent: readonly ConnectionProbe[],
    ): Promise<boolean> {
        const controls = this.chooseControls(servers, probes)
            .map(server => this.openProbe(server));
        const answered = await Promise.race([anyAccepted(controls), allSettled(silent).then(() => false)]);
        if (answered) {
            await settledWithin(silent, controlMarginMilliseconds);
        }
        return answered;
    }

    /** Servers that have just accepted a connection, else others; not those that are in question. */
    private chooseControls(servers: readonly ServerEntry[], probes: readonly ConnectionProbe[]): ServerEntry[] {
        const { random } = this.options;
        const accepted = servers.filter((_server, index) => probes[index]!.outcome === ProbeOutcome.accepted);
        const checkedIds = new Set(servers.map(({ id }) => id));
        const others = this.options.knownServers().filter(({ id }) => !checkedIds.has(id));
        return [...shuffle(random, accepted), ...shuffle(random, others)].slice(0, controlCount);
    }
}

function isSilent({ outcome }: ConnectionProbe): boolean {
    return outcome === undefined || outcome === ProbeOutcome.silent;
}

/** Resolves to whether any probe is accepted, as soon as that is known. */
function anyAccepted(probes: readonly ConnectionProbe[]): Promise<boolean> {
    return new Promise((resolve, reject) => {
        const settled = probes.map(async probe => {
            if (await probe.settled === ProbeOutcome.accepted) {
                resolve(true);
            }
        });
        Promise.all(settled).then(() => resolve(false), reject);
    });
}

async function allSettled(probes: readonly ConnectionProbe[]): Promise<void> {
    await Promise.all(probes.map(({ settled }) => settled));
}

/** Resolves once all probes are settled, or after the time and after the input that has arrived by then is read. */
async function settledWithin(probes: readonly ConnectionProbe[], milliseconds: number): Promise<void> {
    await Promise.race([
        allSettled(probes),
        waitForInput(milliseconds),
    ]);
}
