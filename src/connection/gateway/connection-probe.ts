/** Opens TCP connections to a backend server to find out whether it accepts them, and closes them at once. */
import { connect, type Socket } from "node:net";
import { delay } from "../../common/clock.js";
import { waitForInput } from "../../common/event-loop.js";
import type { FailureBoundary, FailureReporter } from "../../common/failure-boundary.js";
import type { SocketAddress } from "../../domain/gateway/server-entry.js";

export const ProbeOutcome = {
    /** Also by a server that has as many connections as it takes, and resets this one. */
    accepted: "accepted",
    /** Nothing listens at the address. */
    refused: "refused",
    /** Neither within the longest time of a probe, or the probe could not be sent. */
    silent: "silent",
} as const;
export type ProbeOutcome = typeof ProbeOutcome[keyof typeof ProbeOutcome];

export type OpenConnection = (address: SocketAddress) => Pick<Socket, "once" | "destroy">;

export const openTcpConnection: OpenConnection = ({ host, port }) => connect(port, host);

/** A second connection is opened after this time, in case the first connection's SYN packet was lost. */
const retryDelayMilliseconds = 8;
/** Outcomes of connections that fail; the other failures are of this machine or of the network. */
const failureOutcomes: Readonly<Record<string, ProbeOutcome>> = {
    ECONNREFUSED: ProbeOutcome.refused,
    ECONNRESET: ProbeOutcome.accepted,
};
/** Fits about ten round trips between availability zones plus the handshake of a busy server. */
export const probeTimeoutMilliseconds = 18;
/** Time in which a process that is killed closes what it has open. */
const listenerCloseMilliseconds = 5;
/** An answer that takes longer says nothing about the server's present state. */
const longestProbeMilliseconds = 300;

export class ConnectionProbe {
    /** Undefined until the probe is settled. */
    outcome: ProbeOutcome | undefined;
    readonly settled: Promise<ProbeOutcome>;
    private resolveSettled!: (outcome: ProbeOutcome) => void;
    private readonly connections: Pick<Socket, "once" | "destroy">[] = [];
    private readonly timers: ReturnType<typeof setTimeout>[];
    private readonly boundary: FailureBoundary;

    constructor(
        private readonly address: SocketAddress,
        private readonly openConnection: OpenConnection,
        failures: FailureReporter,
    ) {
        this.boundary = failures.createBoundary("connection probe", () => this.settle(ProbeOutcome.silent));
        this.settled = new Promise(resolve => {
            this.resolveSettled = resolve;
        });
        this.timers = [
            setTimeout(this.boundary.wrap(() => this.open()), retryDelayMilliseconds),
            setTimeout(this.boundary.wrap(() => this.settle(ProbeOutcome.silent)), longestProbeMilliseconds),
        ];
        this.open();
    }

    private open(): void {
        try {
            const connection = this.openConnection(this.address);
            connection.once("connect", this.boundary.wrap(() => this.settle(ProbeOutcome.accepted)));
            connection.once(
                "error",
                this.boundary.wrap(({ code }: NodeJS.ErrnoException) =>
                    this.settle(failureOutcomes[code ?? ""] ?? ProbeOutcome.silent)
                ),
            );
            this.connections.push(connection);
        }
        catch {
            // The runtime refuses the address, so no server can be reached there.
            this.settle(ProbeOutcome.refused);
        }
    }

    private settle(outcome: ProbeOutcome): void {
        if (this.outcome === undefined) {
            this.outcome = outcome;
            this.timers.forEach(timer => clearTimeout(timer));
            this.connections.forEach(connection => connection.destroy());
            this.resolveSettled(outcome);
        }
    }
}

/**
 * Resolves to whether nothing listens at the address any longer; to false if the probes have no answer within a moment. The
 * operating system may end the connections of a killed process a moment before its listener, so that it is asked twice.
 */
export async function isListenerGone(address: SocketAddress, failures: FailureReporter): Promise<boolean> {
    if (await isRefused(address, failures)) {
        return true;
    }
    await delay(listenerCloseMilliseconds);
    return isRefused(address, failures);
}

async function isRefused(address: SocketAddress, failures: FailureReporter): Promise<boolean> {
    const probe = new ConnectionProbe(address, openTcpConnection, failures);
    await Promise.race([probe.settled, waitForInput(probeTimeoutMilliseconds)]);
    return probe.outcome === ProbeOutcome.refused;
}
