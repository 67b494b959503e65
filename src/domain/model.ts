/** Language models that are served. */

/** A model, from the sheet. */
export interface ModelDescription {
    readonly name: string;
    readonly version: string;
    readonly layerTotal: number;
    /** Weights of one layer, in bytes. */
    readonly layerBytes: number;
    /** Activations that pass between two stages for one token, in bytes. */
    readonly activationBytes: number;
    /** KV cache of one token in one layer, in bytes. */
    readonly cacheBytesPerTokenLayer: number;
    readonly adapters: readonly string[];
    readonly maximumTokens: number;
}
