/** What a stand-in engine is made from, and the messages that stages send each other. */
import type { BackendServerClass, Holding, ServingRole } from "../../domain/backend-server.js";
import type { AttemptRequest, EngineFrame } from "../../domain/engine-protocol.js";
import type { LayerRange } from "../../domain/layers.js";
import type { Location } from "../../domain/topology.js";

/** Settings of one stand-in engine. */
export interface StandInEngineOptions {
    readonly id: string;
    /** Base URL under which routers and other stages reach it. */
    readonly address: string;
    readonly location: Location;
    readonly class: BackendServerClass;
    readonly holdings: readonly Holding[];
    readonly role?: ServingRole;
    /** Bearer credential that orders must carry when the class checks orders. */
    readonly orderCredential?: string;
    readonly heartbeatMilliseconds?: number;
    readonly loadReportMilliseconds?: number;
    readonly loadReportLagMilliseconds?: number;
    readonly cacheEventDelayMilliseconds?: number;
    readonly cacheEventLossShare?: number;
    readonly cacheKeepMilliseconds?: number;
    readonly stageTimeoutMilliseconds?: number;
    readonly maximumAttempts?: number;
    readonly prefixCacheBlocks?: number;
    /** Weights of one layer, which set the time of a load. */
    readonly layerBytes?: number;
    /** Activations of one token between two stages. */
    readonly activationBytes?: number;
    readonly cacheBytesPerTokenLayer?: number;
    readonly cacheBytes?: number;
}

/** Receives the frames of one attempt. */
export interface FrameSink {
    write(frame: EngineFrame): void;
    /** No further frame follows. */
    end(): void;
    /** The engine died: the connection breaks without a closing frame. */
    fail(): void;
}

/** A running attempt at its first stage. */
export interface EngineAttempt {
    pause(): void;
    resume(): void;
    cancel(): void;
}

/** Activations of one position, for the next stage. */
export interface ActivationsMessage {
    readonly kind: "activations";
    readonly attemptId: string;
    readonly stageIndex: number;
    readonly position: number;
    /** Tokens to compute at each stage; absent once the prefix is computed, when it is one at each. */
    readonly tokens?: readonly number[];
    /** Layers that have run for this position so far, in order. */
    readonly ran: readonly LayerRange[];
    readonly bytes: number;
}

/** The last stage has computed a position. */
export interface SampledMessage {
    readonly kind: "sampled";
    readonly attemptId: string;
    readonly position: number;
    readonly ran: readonly LayerRange[];
}

/** A stage could not reach the next one. */
export interface StageFailedMessage {
    readonly kind: "stage-failed";
    readonly attemptId: string;
    readonly backendServer: string;
}

/** The attempt has ended; its KV cache is kept for a while. */
export interface ReleaseMessage {
    readonly kind: "release";
    readonly attemptId: string;
}

export type StageMessage = ActivationsMessage | SampledMessage | StageFailedMessage | ReleaseMessage;

/** Asks a stage to take part in an attempt. */
export interface PrepareRequest {
    readonly kind: "prepare";
    readonly attempt: AttemptRequest;
    readonly stageIndex: number;
    readonly headAddress: string;
    readonly expectedTokens: number;
}

export interface PingRequest {
    readonly kind: "ping";
}

export interface ExportCacheRequest {
    readonly kind: "export-cache";
    readonly attemptId: string;
    readonly layers: LayerRange;
}

export type StageRequest = PrepareRequest | PingRequest | ExportCacheRequest;

export interface StageReply {
    /** Why the stage does not take part, if it does not. */
    readonly refusal?: "draining" | "not-held";
    /** Tokens of the prefix for which the stage has KV cache. */
    readonly cachedTokens: number;
    /** Size of what the reply carries, for links with limited bandwidth. */
    readonly bytes: number;
}

/** A stage as the network sees it. */
export interface StageEndpoint {
    readonly id: string;
    readonly address: string;
    readonly location: Location;
    readonly alive: boolean;
    receive(message: StageMessage): void;
    answer(request: StageRequest): Promise<StageReply>;
}

/** Carries messages between stages. */
export interface StageNetwork {
    /** Delivers a message; calls `failed` once if the other end cannot be reached. */
    send(from: StageEndpoint, address: string, message: StageMessage, failed: () => void): void;
    /** Rejects with a ConnectionFailedError if there is no answer in time. */
    request(from: StageEndpoint, address: string, request: StageRequest): Promise<StageReply>;
}

/** What becomes of a frame on its way to the router. */
export type FrameFault =
    | { readonly kind: "drop"; }
    | { readonly kind: "duplicate"; }
    | { readonly kind: "delay"; readonly milliseconds: number; }
    /** Sent under another attempt's ID. */
    | { readonly kind: "cross"; readonly attemptId: string; }
    /** Claims that other layers ran. */
    | { readonly kind: "layers"; readonly layers: readonly LayerRange[]; };

/** Decides the fault of each frame; undefined lets it pass. */
export type FrameFaultRule = (frame: EngineFrame) => FrameFault | undefined;
