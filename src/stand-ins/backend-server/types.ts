/** Options of a stand-in engine, the interfaces it uses, and the messages between stages. */
import type { BackendServerClass, Holding, ServingRole } from "../../domain/backend-server.js";
import type { AttemptRequest, EngineFrame } from "../../domain/engine-protocol.js";
import type { LayerRange } from "../../domain/layers.js";
import type { Location } from "../../domain/topology.js";

/** Settings of one stand-in engine. */
export interface StandInEngineOptions {
    readonly id: string;
    /** Base URL at which routers and other stages reach the engine. */
    readonly address: string;
    readonly location: Location;
    readonly class: BackendServerClass;
    readonly holdings: readonly Holding[];
    readonly role?: ServingRole;
    /** Bearer credential that orders must carry if the class has `checksOrders`. */
    readonly orderCredential?: string;
    readonly heartbeatMilliseconds?: number;
    readonly loadReportMilliseconds?: number;
    readonly loadReportDelayMilliseconds?: number;
    readonly cacheEventDelayMilliseconds?: number;
    readonly cacheEventLossShare?: number;
    readonly cacheRetentionMilliseconds?: number;
    readonly stageTimeoutMilliseconds?: number;
    readonly maximumAttempts?: number;
    readonly prefixCacheBlocks?: number;
    /** Size of the weights of one layer; determines the memory and the time that a load takes. */
    readonly layerBytes?: number;
    /** Size of the activations of one token between two stages. */
    readonly activationBytes?: number;
    readonly cacheBytesPerTokenLayer?: number;
    readonly cacheBytes?: number;
}

/** Receives the frames of one attempt. */
export interface FrameSink {
    write(frame: EngineFrame): void;
    /** Ends the stream after the last frame. */
    end(): void;
    /** Breaks the connection without a closing frame, as when the engine crashes. */
    fail(): void;
}

/** Controls a running attempt at the engine of its first stage. */
export interface EngineAttempt {
    pause(): void;
    resume(): void;
    cancel(): void;
}

/** Activations of one position, sent to the next stage. */
export interface ActivationsMessage {
    readonly kind: "activations";
    readonly attemptId: string;
    readonly stageIndex: number;
    readonly position: number;
    /** Number of tokens to compute at each stage; absent after the first position, when each stage computes one. */
    readonly tokens?: readonly number[];
    /** Layer ranges that have run for this position so far, in order. */
    readonly ran: readonly LayerRange[];
    readonly bytes: number;
}

/** Tells the first stage that the last stage has computed a position. */
export interface SampledMessage {
    readonly kind: "sampled";
    readonly attemptId: string;
    readonly position: number;
    readonly ran: readonly LayerRange[];
}

/** Tells the first stage that a stage could not reach the next stage. */
export interface StageFailedMessage {
    readonly kind: "stage-failed";
    readonly attemptId: string;
    /** The backend server that could not be reached. */
    readonly backendServer: string;
}

/** Tells a stage that the attempt has ended; starts the retention period of its KV cache. */
export interface ReleaseMessage {
    readonly kind: "release";
    readonly attemptId: string;
}

export type StageMessage = ActivationsMessage | SampledMessage | StageFailedMessage | ReleaseMessage;

/** Sets up a stage of an attempt. */
export interface PrepareRequest {
    readonly kind: "prepare";
    readonly attempt: AttemptRequest;
    readonly stageIndex: number;
    /** Address of the head, the engine of the attempt's first stage. */
    readonly headAddress: string;
    /** Number of tokens in the complete answer. */
    readonly expectedTokens: number;
}

/** Checks whether a stage's engine is reachable. */
export interface PingRequest {
    readonly kind: "ping";
}

/** Asks for an attempt's KV cache of a layer range. */
export interface ExportCacheRequest {
    readonly kind: "export-cache";
    readonly attemptId: string;
    readonly layers: LayerRange;
}

export type StageRequest = PrepareRequest | PingRequest | ExportCacheRequest;

export interface StageReply {
    /** Reason if the stage refuses the attempt. */
    readonly refusal?: "draining" | "not-held";
    /** Number of prefix tokens for which the stage has KV cache. */
    readonly cachedTokens: number;
    /** Payload size of the reply, from which the transfer time on a link is computed. */
    readonly bytes: number;
}

/** An engine as an endpoint of the stage network. */
export interface StageEndpoint {
    readonly id: string;
    readonly address: string;
    readonly location: Location;
    readonly alive: boolean;
    receive(message: StageMessage): void;
    handleRequest(request: StageRequest): Promise<StageReply>;
}

/** Carries messages between stages. */
export interface StageNetwork {
    /** Sends a message; calls `onFailure` once if the address cannot be reached. */
    send(from: StageEndpoint, address: string, message: StageMessage, onFailure: () => void): void;
    /** Rejects with a ConnectionFailedError if the address cannot be reached or does not reply in time. */
    request(from: StageEndpoint, address: string, request: StageRequest): Promise<StageReply>;
}

/** Fault that is injected into a frame sent to the router. */
export type FrameFault =
    | { readonly kind: "drop"; }
    | { readonly kind: "duplicate"; }
    | { readonly kind: "delay"; readonly milliseconds: number; }
    /** The frame carries another attempt's ID. */
    | { readonly kind: "cross"; readonly attemptId: string; }
    /** The frame reports layers other than those that ran. */
    | { readonly kind: "layers"; readonly layers: readonly LayerRange[]; };

/** Selects the fault for each frame; undefined sends it unchanged. */
export type FrameFaultRule = (frame: EngineFrame) => FrameFault | undefined;
