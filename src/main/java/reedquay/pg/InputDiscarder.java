package reedquay.pg;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/** Takes the place of a decoder: releases all input at once, and closes the connection when that exceeds a limit. */
final class InputDiscarder extends ChannelInboundHandlerAdapter {
    private final int maxBytes;
    private long discardedBytes;

    InputDiscarder(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    @Override public void channelRead(ChannelHandlerContext ctx, Object message) {
        discardedBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
        ReferenceCountUtil.release(message);
        if (discardedBytes > maxBytes) {
            ctx.close();
        }
    }
}
