/** Stage messages within one process, with a topology's latency and bandwidth and injectable link faults. */
import { delay } from "../../common/clock.js";
import { type LinkCost, type Topology, transferMilliseconds } from "../../domain/topology.js";
import { ConnectionFailedError, ConnectionFailure } from "../../errors/index.js";
import { stageRequestTimeoutMilliseconds } from "./constants.js";
import type { StageEndpoint, StageMessage, StageNetwork, StageReply, StageRequest } from "./types.js";

/** Assumed size in bytes of a request, or of a message without activations. */
const requestBytes = 512;

/** Fault of a link between two stages. */
export type LinkFault =
    /** Connections are refused. */
    | { readonly kind: "cut"; }
    /** Messages are lost without an error. */
    | { readonly kind: "silent"; }
    /** Latency and transfer time are multiplied. */
    | { readonly kind: "slow"; readonly factor: number; };

export class InProcessStageNetwork implements StageNetwork {
    private readonly endpoints = new Map<string, StageEndpoint>();
    private readonly faults = new Map<string, LinkFault>();

    constructor(private readonly topology: Topology) {}

    add(endpoint: StageEndpoint): void {
        this.endpoints.set(endpoint.address, endpoint);
    }

    remove(endpoint: StageEndpoint): void {
        if (this.endpoints.get(endpoint.address) === endpoint) {
            this.endpoints.delete(endpoint.address);
        }
    }

    /** Sets the fault of the link between two addresses, in one direction; undefined clears it. */
    setFault(fromAddress: string, toAddress: string, fault: LinkFault | undefined): void {
        const key = `${fromAddress} ${toAddress}`;
        if (fault === undefined) {
            this.faults.delete(key);
        }
        else {
            this.faults.set(key, fault);
        }
    }

    send(from: StageEndpoint, address: string, message: StageMessage, onFailure: () => void): void {
        const to = this.endpoints.get(address);
        const fault = this.faults.get(`${from.address} ${address}`);
        if (to === undefined || !to.alive || fault?.kind === "cut") {
            setTimeout(onFailure, 0);
            return;
        }
        if (fault?.kind === "silent") {
            return;
        }
        const deliveryDelayMilliseconds = this.transferTimeMilliseconds(
            from,
            to,
            message.kind === "activations" ? message.bytes : requestBytes,
            fault,
        );
        setTimeout(() => {
            if (to.alive) {
                to.receive(message);
            }
            else {
                onFailure();
            }
        }, deliveryDelayMilliseconds);
    }

    async request(from: StageEndpoint, address: string, request: StageRequest): Promise<StageReply> {
        const to = this.endpoints.get(address);
        const fault = this.faults.get(`${from.address} ${address}`);
        if (to === undefined || !to.alive || fault?.kind === "cut") {
            throw new ConnectionFailedError(address, ConnectionFailure.refused, false);
        }
        if (fault?.kind === "silent") {
            await delay(stageRequestTimeoutMilliseconds);
            throw new ConnectionFailedError(address, ConnectionFailure.silent, true);
        }
        await delay(this.transferTimeMilliseconds(from, to, requestBytes, fault));
        if (!to.alive) {
            throw new ConnectionFailedError(address, ConnectionFailure.broken, true);
        }
        const reply = await to.handleRequest(request);
        await delay(this.transferTimeMilliseconds(to, from, requestBytes + reply.bytes, fault));
        return reply;
    }

    private transferTimeMilliseconds(
        from: StageEndpoint,
        to: StageEndpoint,
        bytes: number,
        fault: LinkFault | undefined,
    ): number {
        const link: LinkCost = from === to
            ? { latencyMilliseconds: 0, bytesPerSecond: Number.POSITIVE_INFINITY }
            : this.topology.link(from.location, to.location);
        return transferMilliseconds(link, bytes) * (fault?.kind === "slow" ? fault.factor : 1);
    }
}
