/** A language model, as defined in the configuration sheet. */
export interface ModelDescription {
    readonly name: string;
    readonly version: string;
    readonly layerTotal: number;
    /** Size of one layer's weights. */
    readonly layerBytes: number;
    /** Size of the activations that one stage sends to the next for each token. */
    readonly activationBytes: number;
    /** KV cache size of one token in one layer. */
    readonly cacheBytesPerTokenLayer: number;
    readonly adapters: readonly string[];
    readonly maximumTokens: number;
}
