"""HTTP/1.1 connections to servers and from clients, on asyncio and the h11 parser."""
